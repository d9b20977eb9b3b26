#pragma once

#include <cstddef>
#include <deque>
#include <string>

namespace shallotbank::http {

/// Bytes that wait to be written to one socket.
class OutputQueue {
 public:
  enum class Status { kEmpty, kBlocked, kFailed };
  struct Result {
    Status status = Status::kEmpty;
    std::size_t bytes = 0;               ///< Written by this call.
    std::size_t completed_requests = 0;  ///< Whose response is fully written.
  };

  /// `completes_request`: the last of `bytes` completes the response to a
  /// request.
  auto Push(std::string bytes, bool completes_request) -> void;
  /// Writes as much as `socket` accepts without blocking.
  auto Write(int socket) -> Result;
  /// Discards everything; returns the number of requests left incomplete.
  auto Clear() -> std::size_t;

  auto IsEmpty() const -> bool { return this->segments.empty(); }
  auto Size() const -> std::size_t { return this->size; }

 private:
  struct Segment {
    std::string bytes;
    bool completes_request = false;
  };
  auto Consume(std::size_t count) -> std::size_t;

  std::deque<Segment> segments;
  std::size_t offset = 0;  ///< Bytes of the first segment already written.
  std::size_t size = 0;
};

}  // namespace shallotbank::http
