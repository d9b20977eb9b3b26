#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <string>

#include <boost/leaf.hpp>

#include "http/server.h"
#include "standins/delay_queue.h"
#include "standins/faults.h"

namespace shallotbank::standins {

/// Stand-in for the platform's append-only log, with offsets from 1, limited
/// retention and fault injection. `POST /control` sets Faults from JSON, and
/// `expire_before` discards records below an offset; `GET /control` returns the
/// number of appends.
class LogStandin {
 public:
  explicit LogStandin(std::uint16_t port = 0);
  ~LogStandin();

  auto Start() -> boost::leaf::result<void>;
  auto Url() const -> std::string;

  auto SetFaults(Faults faults) -> void;
  /// Discards the records below `offset`.
  auto ExpireBefore(std::uint64_t offset) -> void;
  auto AppendCount() const -> std::uint64_t;
  auto Head() const -> std::uint64_t;

 private:
  auto Handle(const http::Request& request, http::Responder responder) -> void;
  auto Append(const std::string& data) -> http::Response;
  auto Read(const http::Request& request) -> http::Response;
  auto Control(const http::Request& request) -> http::Response;

  mutable std::mutex mutex;
  Faults faults;
  std::deque<std::string> records;
  std::uint64_t first_offset = 1;
  std::uint64_t appends = 0;
  ResponseDropper dropper;
  DelayQueue delays;
  std::unique_ptr<http::Server> server;
};

}  // namespace shallotbank::standins
