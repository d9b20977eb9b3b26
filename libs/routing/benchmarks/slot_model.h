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

/// Simulates hosts that share the slots of a cell's minions, with random
/// arrivals and exponential service times. All times in milliseconds.
struct SlotModel {
  int hosts = 6;
  int usable_per_host = 64;  ///< Slots that each host may use.
  int total_slots = 384;     ///< The base of `load`.
  bool overflow = false;     ///< A full host forwards requests to a peer.
  double hop_latency = 4;
  double mean_service_time = 50;
  double first_host_weight = 1;  ///< Arrivals at host 0 relative to others.
  int requests = 200000;

  struct Result {
    double mean_wait = 0;  ///< Queueing delay and hop latency.
    double p99_wait = 0;
    double utilisation = 0;  ///< Of all slots, up to the last arrival.
    double overflowed = 0;   ///< Fraction of all requests.
  };

  auto Run(double load, std::uint64_t seed) const -> Result {
    struct Host {
      int busy = 0;
      std::deque<double> waiting;
    };
    std::mt19937_64 random(seed);
    std::exponential_distribution<double> interarrival_time(
        load * this->total_slots / this->mean_service_time);
    std::exponential_distribution<double> service_time(1 /
                                                       this->mean_service_time);
    std::vector<double> weights(static_cast<std::size_t>(this->hosts), 1);
    weights[0] = this->first_host_weight;
    std::discrete_distribution<std::size_t> host_distribution(weights.begin(),
                                                              weights.end());
    std::vector<Host> state(static_cast<std::size_t>(this->hosts));
    using Completion = std::pair<double, std::size_t>;
    std::priority_queue<Completion, std::vector<Completion>, std::greater<>>
        completions;
    std::vector<double> waits;
    waits.reserve(static_cast<std::size_t>(this->requests));
    double now = 0;
    double busy_time = 0;
    int overflowed = 0;
    const auto start = [&](std::size_t host, double from) {
      const double time = service_time(random);
      busy_time += time;
      state[host].busy++;
      completions.emplace(from + time, host);
    };
    for (int k = 0; k < this->requests; ++k) {
      now += interarrival_time(random);
      while (!completions.empty() && completions.top().first <= now) {
        const auto [time, host] = completions.top();
        completions.pop();
        state[host].busy--;
        if (!state[host].waiting.empty()) {
          waits.push_back(time - state[host].waiting.front());
          state[host].waiting.pop_front();
          start(host, time);
        }
      }
      const auto entry_host = host_distribution(random);
      auto target = entry_host;
      if (state[entry_host].busy >= this->usable_per_host && this->overflow) {
        for (std::size_t host = 0; host < state.size(); ++host) {
          target = state[host].busy < state[target].busy ? host : target;
        }
      }
      if (state[target].busy < this->usable_per_host) {
        const double hop_time = target == entry_host ? 0 : this->hop_latency;
        overflowed += target == entry_host ? 0 : 1;
        waits.push_back(hop_time);
        start(target, now + hop_time);
      } else {
        state[entry_host].waiting.push_back(now);
      }
    }
    // The delay so far is a lower bound for requests that are still queued.
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
