#include "http/responder.h"

#include <utility>

#include "connection.h"
#include "exchange.h"
#include "response_text.h"

namespace shallotbank::http {
namespace {

constexpr int kInternalServerError = 500;

}  // namespace

Responder::Responder(std::shared_ptr<Exchange> exchange)
    : exchange(std::move(exchange)) {}

Responder::~Responder() {
  if (this->exchange != nullptr) {
    this->Send(DroppedResponse(kInternalServerError));
  }
}

Responder::Responder(Responder&&) noexcept = default;

auto Responder::operator=(Responder&& other) noexcept -> Responder& {
  if (this != &other) {
    Responder dropped(std::move(*this));
    this->exchange = std::move(other.exchange);
  }
  return *this;
}

auto Responder::Send(Response response) -> bool {
  const auto taken = std::move(this->exchange);
  this->exchange = nullptr;
  return taken != nullptr &&
         taken->connection->QueueResponse(*taken, std::move(response));
}

}  // namespace shallotbank::http
