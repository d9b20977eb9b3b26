#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

#include "http/message.h"

namespace shallotbank::http {

/// A request that is refused before it reaches the handler.
struct ReadError {
  int status = 400;
  std::string reason;
  std::string field;  ///< The invalid part of the request, or empty.
  std::string message;
};

struct ReadRequest {
  Request request;
  bool keep_alive = true;
  bool is_http10 = false;
};

/// Splits the bytes of one connection into requests. Pistache's parser drops
/// what follows the first request of a read, so pipelined requests are lost;
/// this one keeps every byte. Used by one thread at a time.
class RequestReader {
 public:
  enum class Phase { kIdle, kHeader, kBody };
  struct NeedMore {};
  using Result = std::variant<NeedMore, ReadRequest, ReadError>;

  RequestReader(std::size_t max_header_bytes, std::size_t max_body_bytes);
  ~RequestReader();
  RequestReader(const RequestReader&) = delete;
  auto operator=(const RequestReader&) -> RequestReader& = delete;

  auto Append(std::string_view bytes) -> void;
  /// The next request. Nothing can be read after an error.
  auto Next() -> Result;
  auto CurrentPhase() const -> Phase;
  /// Whether bytes after the latest request wait for the next call.
  auto HasBufferedInput() const -> bool { return !this->buffer.empty(); }
  /// True once for each request whose sender waits for `100 Continue`.
  auto TakeContinue() -> bool;

 private:
  struct State;
  auto Reset() -> void;
  auto Finish() -> Result;

  std::size_t max_header_bytes;
  std::size_t max_body_bytes;
  std::string buffer;
  std::unique_ptr<State> state;
  bool continue_wanted = false;
};

}  // namespace shallotbank::http
