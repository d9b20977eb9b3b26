// Measures what this server adds to bare Pistache: latency and throughput of
// small requests on persistent connections over loopback.

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include <getopt.h>
#include <pistache/endpoint.h>

#include "base/bounded_ring.h"
#include "base/clock.h"
#include "http/server.h"
#include "raw_socket.h"

namespace shallotbank::http {
namespace {

constexpr int kServerThreads = 2;
constexpr std::string_view kRequest =
    "GET /benchmark HTTP/1.1\r\nHost: a\r\nConnection: keep-alive\r\n\r\n";
const std::string kBody(100, 'x');

class BareHandler : public Pistache::Http::Handler {
 public:
  HTTP_PROTOTYPE(BareHandler)

  auto onRequest(const Pistache::Http::Request&,
                 Pistache::Http::ResponseWriter writer) -> void override {
    writer.send(Pistache::Http::Code::Ok, kBody);
  }
};

struct Figures {
  double requests_per_second = 0;
  Duration median{};
  Duration p99{};
};

auto Quantile(std::vector<Duration>& sorted, double quantile) -> Duration {
  const auto index =
      static_cast<std::size_t>(quantile * static_cast<double>(sorted.size()));
  return sorted.empty() ? Duration()
                        : sorted[std::min(index, sorted.size() - 1)];
}

/// `clients` connections send one request at a time for `time`.
auto Measure(std::uint16_t port, int clients, Duration time) -> Figures {
  std::vector<std::vector<Duration>> latencies(
      static_cast<std::size_t>(clients));
  const auto start = SystemClock().Now();
  const auto measured_from = start + time / 10;  // The rest is warm-up.
  const auto end = start + time;
  std::vector<std::thread> threads;
  for (auto& own : latencies) {
    threads.emplace_back([&own, port, measured_from, end] {
      auto socket = RawSocket::Connect(port);
      auto sent_at = SystemClock().Now();
      while (sent_at < end) {
        socket.Send(kRequest);
        if (socket.ReadResponse().body != kBody) {
          std::cerr << "a request got no answer or a wrong one\n";
          std::exit(EXIT_FAILURE);  // NOLINT(concurrency-mt-unsafe)
        }
        const auto now = SystemClock().Now();
        if (sent_at >= measured_from) {
          own.push_back(now - sent_at);
        }
        sent_at = now;
      }
    });
  }
  std::vector<Duration> all;
  for (std::size_t i = 0; i < threads.size(); ++i) {
    threads[i].join();
    all.insert(all.end(), latencies[i].begin(), latencies[i].end());
  }
  std::sort(all.begin(), all.end());
  const std::chrono::duration<double> seconds = end - measured_from;
  return {static_cast<double>(all.size()) / seconds.count(), Quantile(all, 0.5),
          Quantile(all, 0.99)};
}

auto MeasureBare(int clients, Duration time) -> Figures {
  Pistache::Http::Endpoint endpoint(
      Pistache::Address("127.0.0.1", Pistache::Port(0)));
  endpoint.init(Pistache::Http::Endpoint::options()
                    .threads(kServerThreads)
                    .flags(Pistache::Tcp::Options::NoDelay));
  endpoint.setHandler(Pistache::Http::make_handler<BareHandler>());
  endpoint.serveThreaded();
  const auto figures = Measure(endpoint.getPort(), clients, time);
  endpoint.shutdown();
  return figures;
}

auto MeasureServer(const Server::Handler& handler, int clients, Duration time)
    -> Figures {
  ServerOptions options;
  options.threads = kServerThreads;
  Server server(options, handler);
  if (!server.Start()) {
    std::cerr << "cannot listen\n";
    std::exit(EXIT_FAILURE);  // NOLINT(concurrency-mt-unsafe)
  }
  return Measure(server.Port(), clients, time);
}

auto MeasureSameThread(int clients, Duration time) -> Figures {
  return MeasureServer(
      [](const Request&, Responder responder) {
        responder.Send({200, {}, kBody});
      },
      clients, time);
}

auto MeasureOtherThread(int clients, Duration time) -> Figures {
  BoundedRing<Responder> ring(1024);
  std::thread responding([&ring] {
    while (auto responder = ring.Pop(std::chrono::seconds(10))) {
      responder->Send({200, {}, kBody});
    }
  });
  const auto figures = MeasureServer(
      [&ring](const Request&, Responder responder) {
        ring.TryPush(std::move(responder));
      },
      clients, time);
  ring.Close();
  responding.join();
  return figures;
}

struct Variant {
  const char* name;
  Figures (*measure)(int clients, Duration time);
};

auto Run(std::ostream& out, std::chrono::milliseconds time, int rounds)
    -> void {
  constexpr Variant kVariants[] = {{"bare_pistache", &MeasureBare},
                                   {"same_thread", &MeasureSameThread},
                                   {"other_thread", &MeasureOtherThread}};
  out << "round,server,callers,requests_per_second,median_us,p99_us\n";
  for (int round = 1; round <= rounds; ++round) {
    for (const int clients : {1, 32, 256}) {
      for (const auto& variant : kVariants) {
        const auto figures = variant.measure(clients, time);
        const auto us = [](Duration latency) {
          return std::chrono::duration<double, std::micro>(latency).count();
        };
        out << round << ',' << variant.name << ',' << clients << ','
            << static_cast<long>(figures.requests_per_second) << ','
            << us(figures.median) << ',' << us(figures.p99) << std::endl;
      }
    }
  }
}

}  // namespace
}  // namespace shallotbank::http

auto main(int argc, char** argv) -> int {
  std::string csv;
  long milliseconds = 1500;
  int rounds = 3;
  const option options[] = {{"csv", required_argument, nullptr, 'c'},
                            {"milliseconds", required_argument, nullptr, 'm'},
                            {"rounds", required_argument, nullptr, 'r'},
                            {nullptr, 0, nullptr, 0}};
  int choice = 0;
  // NOLINTNEXTLINE(concurrency-mt-unsafe)
  while ((choice = getopt_long(argc, argv, "", options, nullptr)) != -1) {
    if (choice == 'c') {
      csv = optarg;
    } else if (choice == 'm') {
      milliseconds = std::strtol(optarg, nullptr, 10);
    } else if (choice == 'r') {
      rounds = static_cast<int>(std::strtol(optarg, nullptr, 10));
    } else {
      std::cerr << "usage: http_benchmark [--csv FILE] [--milliseconds N] "
                   "[--rounds N]\n";
      return EXIT_FAILURE;
    }
  }
  std::ofstream file;
  if (!csv.empty()) {
    file.open(csv);
    if (!file) {
      std::cerr << "cannot write " << csv << "\n";
      return EXIT_FAILURE;
    }
  }
  shallotbank::http::Run(csv.empty() ? std::cout : file,
                         std::chrono::milliseconds(milliseconds), rounds);
  return EXIT_SUCCESS;
}
