#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <queue>
#include <random>
#include <utility>
#include <vector>

namespace shallotbank::routing {

/// Hosts that share the slots of the minions of a cell, with random arrivals
/// and exponential service times. All times in milliseconds.
struct SlotModel {
  int hosts = 6;
  int usable_per_host = 64;  ///< Slots that a host may use by itself.
  int total_slots = 384;     ///< The base of the load.
  bool overflow = false;     ///< A full host passes a request to a peer.
  double hop = 4;
  double service = 50;
  double first_host_weight = 1;  ///< Arrivals at host 0 against the others.
  int requests = 200000;

  struct Result {
    double mean_wait = 0;  ///< Waiting time and hop.
    double p99_wait = 0;
    double utilisation = 0;  ///< Of all slots, until the last arrival.
    double overflowed = 0;   ///< Fraction.
  };

  auto Run(double load, std::uint64_t seed) const -> Result {
    struct Host {
      int busy = 0;
      std::deque<double> waiting;
    };
    std::mt19937_64 random(seed);
    std::exponential_distribution<double> gap(load * this->total_slots /
                                              this->service);
    std::exponential_distribution<double> work(1 / this->service);
    std::vector<double> weights(static_cast<std::size_t>(this->hosts), 1);
    weights[0] = this->first_host_weight;
    std::discrete_distribution<std::size_t> entry(weights.begin(),
                                                  weights.end());
    std::vector<Host> state(static_cast<std::size_t>(this->hosts));
    using End = std::pair<double, std::size_t>;
    std::priority_queue<End, std::vector<End>, std::greater<>> ends;
    std::vector<double> waits;
    waits.reserve(static_cast<std::size_t>(this->requests));
    double now = 0;
    double busy_time = 0;
    int overflowed = 0;
    const auto start = [&](std::size_t host, double from) {
      const double time = work(random);
      busy_time += time;
      state[host].busy++;
      ends.emplace(from + time, host);
    };
    for (int k = 0; k < this->requests; ++k) {
      now += gap(random);
      while (!ends.empty() && ends.top().first <= now) {
        const auto [time, host] = ends.top();
        ends.pop();
        state[host].busy--;
        if (!state[host].waiting.empty()) {
          waits.push_back(time - state[host].waiting.front());
          state[host].waiting.pop_front();
          start(host, time);
        }
      }
      const auto own = entry(random);
      auto target = own;
      if (state[own].busy >= this->usable_per_host && this->overflow) {
        for (std::size_t host = 0; host < state.size(); ++host) {
          target = state[host].busy < state[target].busy ? host : target;
        }
      }
      if (state[target].busy < this->usable_per_host) {
        const double hop_time = target == own ? 0 : this->hop;
        overflowed += target == own ? 0 : 1;
        waits.push_back(hop_time);
        start(target, now + hop_time);
      } else {
        state[own].waiting.push_back(now);
      }
    }
    // Requests that still wait at the end have waited at least this long.
    for (const auto& host : state) {
      for (const auto arrived : host.waiting) {
        waits.push_back(now - arrived);
      }
    }
    double sum = 0;
    for (const auto wait : waits) {
      sum += wait;
    }
    std::sort(waits.begin(), waits.end());
    return Result{
        .mean_wait = sum / static_cast<double>(waits.size()),
        .p99_wait = waits[waits.size() * 99 / 100],
        .utilisation = busy_time / (now * this->total_slots),
        .overflowed = static_cast<double>(overflowed) / this->requests};
  }
};

}  // namespace shallotbank::routing
