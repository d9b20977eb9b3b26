#pragma once

#include <memory>

#include "http/message.h"

namespace shallotbank::http {

class Exchange;

/// The right to answer one request, once, from any thread. A late answer can
/// only reach the connection that the request came from. Dropping an unused
/// responder answers 500.
class Responder {
 public:
  explicit Responder(std::shared_ptr<Exchange> exchange);
  ~Responder();
  Responder(Responder&&) noexcept;
  auto operator=(Responder&&) noexcept -> Responder&;
  Responder(const Responder&) = delete;
  auto operator=(const Responder&) -> Responder& = delete;

  /// Queues the answer behind earlier answers of the same connection. False if
  /// the caller has gone or the answer does not fit the byte limit; the
  /// connection is then closed.
  auto Send(Response response) -> bool;

 private:
  std::shared_ptr<Exchange> exchange;
};

}  // namespace shallotbank::http
