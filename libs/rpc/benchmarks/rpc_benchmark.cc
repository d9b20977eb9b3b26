// Measures heartbeats between one client and several servers in one process
// over loopback. CPU time includes both caller and callee, which equals the
// cost for a daemon that sends as many heartbeats as it responds to.

#include <sys/resource.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "base/settings.h"
#include "rpc/peer_client.h"
#include "rpc/peer_server.h"

namespace shallotbank::rpc {
namespace {

using namespace std::chrono_literals;

constexpr Duration kHeartbeatInterval = 50ms;
constexpr int kCallsInFlightPerPeer = 8;
constexpr std::size_t kHeardPeersInRing = 3;
// IPv4 and TCP headers, including the TCP timestamp option.
constexpr double kHeaderBytesPerSegment = 52;

struct Scenario {
  std::size_t peers = 0;
  std::size_t heard = 0;
};

struct Row {
  Scenario scenario;
  double p50_us = 0;
  double p99_us = 0;
  double calls_per_second = 0;
  double cpu_seconds_per_1000 = 0;
  double payload_bytes = 0;
  double wire_bytes = 0;
};

/// The line y = intercept + slope * x.
struct LinearFit {
  double intercept = 0;
  double slope = 0;
};

auto CpuSeconds() -> double {
  rusage usage{};
  ::getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_usec) / 1e6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

auto Seconds(Duration time) -> double {
  return std::chrono::duration<double>(time).count();
}

auto MakePeerState(std::size_t peer, std::size_t heard) -> PeerState {
  const std::string name = "caxias-" + std::to_string(peer);
  PeerState state{.process = ProcessId(name + "/sched/0123456789abcdef"),
                  .incarnation = peer,
                  .host = name,
                  .role = Role::kSched,
                  .http_address = "10.20.30.40:8080",
                  .rpc_address = "10.20.30.40:8081",
                  .failure_domain = FailureDomain("caxias"),
                  .log_head = 1'000'000,
                  .log_age = 120ms,
                  .owned = {{ResourceId("shard/" + std::to_string(peer)), 77}},
                  .free_slots = {{ServiceName("oficina"), 400}}};
  for (std::size_t i = 0; i < heard; ++i) {
    state.heard.push_back(
        {ProcessId("caxias-" + std::to_string(i) + "/sched/0123456789abcdef"),
         100ms});
  }
  return state;
}

/// Responds to heartbeats with a fixed state and fails every other call.
class HeartbeatHandler {
 public:
  explicit HeartbeatHandler(PeerState state) : state(std::move(state)) {}
  auto Handle(const HeartbeatRequest& /*request*/,
              Reply<HeartbeatResponse> reply) -> void {
    reply.Send({.callee = this->state});
  }
  template <typename Request>
  auto Handle(const Request& /*request*/,
              Reply<typename Request::Response> reply) -> void {
    reply.Fail("not measured");
  }

 private:
  const PeerState state;
};

struct Peer {
  explicit Peer(PeerState state)
      : handler(std::move(state)), server({}, this->handler) {}

  HeartbeatHandler handler;
  PeerServer server;
  std::string address;
};

class Benchmark {
 public:
  explicit Benchmark(Scenario scenario)
      : scenario(scenario),
        request{.sender = MakePeerState(0, scenario.heard)} {
    for (std::size_t i = 0; i < scenario.peers; ++i) {
      auto peer = std::make_unique<Peer>(MakePeerState(i + 1, scenario.heard));
      if (!peer->server.Start()) {
        std::cerr << "a server failed to listen\n";
        std::exit(1);
      }
      peer->address = "127.0.0.1:" + std::to_string(peer->server.Port());
      this->peers.push_back(std::move(peer));
    }
    // Establishes the connections before the measurement.
    this->RunPaced(200ms);
  }

  auto Measure(Duration length) -> Row {
    Row row{.scenario = this->scenario};
    this->MeasurePaced(length, row);
    this->MeasureClosedLoop(length, row);
    return row;
  }

 private:
  auto MeasurePaced(Duration length, Row& row) -> void {
    const auto traffic = this->client.ReadTraffic();
    const auto cpu = CpuSeconds();
    this->RunPaced(length);
    const auto used = CpuSeconds() - cpu;
    const auto after = this->client.ReadTraffic();
    const auto count = static_cast<double>(this->latencies.size());
    std::sort(this->latencies.begin(), this->latencies.end());
    row.p50_us = this->QuantileUs(0.5);
    row.p99_us = this->QuantileUs(0.99);
    row.cpu_seconds_per_1000 = 1000 * used / count;
    const auto payload = after.bytes_sent + after.bytes_received -
                         traffic.bytes_sent - traffic.bytes_received;
    const auto segments = after.segments_sent + after.segments_received -
                          traffic.segments_sent - traffic.segments_received;
    row.payload_bytes = static_cast<double>(payload) / count;
    row.wire_bytes = row.payload_bytes + kHeaderBytesPerSegment *
                                             static_cast<double>(segments) /
                                             count;
  }

  auto QuantileUs(double fraction) const -> double {
    const auto last = static_cast<double>(this->latencies.size() - 1);
    const auto index = static_cast<std::size_t>(fraction * last);
    return Seconds(this->latencies[index]) * 1e6;
  }

  /// Sends one heartbeat to each peer in each interval, spread evenly over it.
  auto RunPaced(Duration length) -> void {
    this->latencies.clear();
    const auto step = kHeartbeatInterval / this->peers.size();
    const auto start = SystemClock().Now();
    std::size_t sent = 0;
    for (auto due = start; due < start + length; due += step) {
      std::this_thread::sleep_until(due);
      this->SendHeartbeat(this->peers[sent % this->peers.size()]->address);
      ++sent;
    }
    this->WaitForAll();
  }

  auto SendHeartbeat(const std::string& address) -> void {
    ++this->in_flight;
    const auto start = SystemClock().Now();
    this->client.Call(address, this->request, 5s,
                      [this, start](const auto& result) {
                        this->Check(result);
                        this->latencies.push_back(SystemClock().Now() - start);
                        --this->in_flight;
                      });
  }

  auto MeasureClosedLoop(Duration length, Row& row) -> void {
    this->answered = 0;
    this->loop_end = SystemClock().Now() + length;
    for (const auto& peer : this->peers) {
      for (int i = 0; i < kCallsInFlightPerPeer; ++i) {
        ++this->in_flight;
        this->SendInClosedLoop(peer->address);
      }
    }
    this->WaitForAll();
    row.calls_per_second =
        static_cast<double>(this->answered) / Seconds(length);
  }

  auto SendInClosedLoop(const std::string& address) -> void {
    this->client.Call(address, this->request, 5s,
                      [this, &address](const auto& result) {
                        this->Check(result);
                        if (SystemClock().Now() < this->loop_end) {
                          ++this->answered;
                          this->SendInClosedLoop(address);
                        } else {
                          --this->in_flight;
                        }
                      });
  }

  auto Check(const CallResult<HeartbeatResponse>& result) const -> void {
    if (result.verdict != Verdict::kRan) {
      std::cerr << "heartbeat failed: " << result.reason << "\n";
      std::exit(1);
    }
  }

  auto WaitForAll() const -> void {
    while (this->in_flight > 0) {
      std::this_thread::sleep_for(1ms);
    }
  }

  const Scenario scenario;
  const HeartbeatRequest request;
  std::vector<std::unique_ptr<Peer>> peers;
  std::vector<Duration> latencies;
  std::atomic<int> in_flight = 0;
  std::uint64_t answered = 0;
  TimePoint loop_end;
  // Declared last to be destroyed first: its callbacks use the members above.
  PeerClient client;
};

template <typename Value>
auto FitByPeerCount(const std::vector<Row>& rows, Value value) -> LinearFit {
  double n = 0;
  double x = 0;
  double y = 0;
  double xx = 0;
  double xy = 0;
  for (const auto& row : rows) {
    const auto peers = static_cast<double>(row.scenario.peers);
    n += 1;
    x += peers;
    y += value(row);
    xx += peers * peers;
    xy += peers * value(row);
  }
  const double slope = (n * xy - x * y) / (n * xx - x * x);
  return {.intercept = (y - slope * x) / n, .slope = slope};
}

auto PrintFits(const std::vector<Row>& rows) -> void {
  const auto peers = [](const Row& row) {
    return static_cast<double>(row.scenario.peers);
  };
  const auto cpu = FitByPeerCount(rows, [&](const Row& row) {
    return row.cpu_seconds_per_1000 / 1000 * peers(row);
  });
  const auto bytes = FitByPeerCount(
      rows, [&](const Row& row) { return row.wire_bytes * peers(row); });
  std::printf(
      "  one heartbeat to each peer: CPU %.1f us + %.1f us a peer, "
      "wire %.0f + %.0f bytes a peer\n",
      cpu.intercept * 1e6, cpu.slope * 1e6, bytes.intercept, bytes.slope);
}

auto ToCsv(const std::vector<Row>& rows) -> std::string {
  std::ostringstream out;
  out << "peers,heard,p50_us,p99_us,calls_per_second,cpu_seconds_per_1000,"
         "payload_bytes,wire_bytes\n";
  for (const auto& row : rows) {
    out << row.scenario.peers << "," << row.scenario.heard << "," << row.p50_us
        << "," << row.p99_us << "," << row.calls_per_second << ","
        << row.cpu_seconds_per_1000 << "," << row.payload_bytes << ","
        << row.wire_bytes << "\n";
  }
  return out.str();
}

auto Run(const Settings& settings) -> int {
  const auto length = settings.Time("phase");
  std::vector<Row> all;
  for (const bool is_ring : {true, false}) {
    std::printf(
        "%s\npeers heard p50_us p99_us calls/s cpu_s/1000 payload_bytes "
        "wire_bytes\n",
        is_ring ? "heard: 3 peers on the ring" : "heard: all peers");
    std::vector<Row> rows;
    for (const std::size_t peers : {6, 12, 37, 74}) {
      Benchmark benchmark(
          {.peers = peers, .heard = is_ring ? kHeardPeersInRing : peers});
      const auto row = benchmark.Measure(length);
      std::printf("%5zu %5zu %6.0f %6.0f %7.0f %10.4f %13.0f %10.0f\n", peers,
                  row.scenario.heard, row.p50_us, row.p99_us,
                  row.calls_per_second, row.cpu_seconds_per_1000,
                  row.payload_bytes, row.wire_bytes);
      rows.push_back(row);
    }
    PrintFits(rows);
    all.insert(all.end(), rows.begin(), rows.end());
  }
  const auto& path = settings.Text("csv");
  if (!path.empty()) {
    std::ofstream out(path);
    out << ToCsv(all);
    if (!out.flush()) {
      std::cerr << "--csv: cannot write " << path << "\n";
      return 1;
    }
  }
  return 0;
}

}  // namespace
}  // namespace shallotbank::rpc

auto main(int argc, char** argv) -> int {
  namespace sb = shallotbank;
  sb::SettingsBuilder builder("rpc_benchmark",
                              "Measures heartbeats between processes.");
  builder.Text("csv", "", "CSV file for the results")
      .Time("phase", std::chrono::seconds(2),
            "length of each of 16 phases, at most 3s");
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<int> {
        BOOST_LEAF_AUTO(settings, builder.Parse(argc, argv, environ));
        if (settings.IsHelp()) {
          std::cout << builder.Help();
          return 0;
        }
        if (settings.Time("phase") > std::chrono::seconds(3) ||
            settings.Time("phase") < std::chrono::milliseconds(100)) {
          return boost::leaf::new_error(
              sb::SettingsError{"--phase", "must be from 100ms to 3s"});
        }
        return sb::rpc::Run(settings);
      },
      [](const sb::SettingsError& error) {
        std::cerr << error.setting << ": " << error.message << "\n";
        return 2;
      },
      [] {
        std::cerr << "unknown error\n";
        return 1;
      });
}
