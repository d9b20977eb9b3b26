#pragma once

#include <memory>

#include "http/message.h"

namespace shallotbank::http {

class Exchange;

/// Sends the response to one request, once, from any thread. A late response
/// can only reach the connection that the request came from. A responder that
/// is destroyed unused sends status 500.
class Responder {
 public:
  explicit Responder(std::shared_ptr<Exchange> exchange);
  ~Responder();
  Responder(Responder&&) noexcept;
  auto operator=(Responder&&) noexcept -> Responder&;
  Responder(const Responder&) = delete;
  auto operator=(const Responder&) -> Responder& = delete;

  /// Queues the response behind earlier responses of the same connection. False
  /// if the client has disconnected or the response exceeds the byte limit; the
  /// connection is then closed.
  auto Send(Response response) -> bool;

 private:
  std::shared_ptr<Exchange> exchange;
};

}  // namespace shallotbank::http
