#include "connection.h"

#include <algorithm>
#include <utility>

#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/responder.h"
#include "response_text.h"

namespace shallotbank::http {
namespace {

/// After the last response the server sends FIN and keeps reading for this
/// long: a close with unread input resets the connection, and a reset can
/// discard a response that the client has not read yet.
constexpr Duration kLingerTimeout = std::chrono::seconds(1);

/// During a drain a connection is idle if it received no request for this long.
/// An active client sends its next request earlier.
constexpr Duration kDrainIdleTimeout = std::chrono::milliseconds(250);

/// Tells a client that the request may have run, so that it may try again.
constexpr int kGatewayTimeout = 504;

}  // namespace

Connection::Connection(std::uint64_t id,
                       int duplicate,
                       int epoll,
                       std::shared_ptr<ServerState> state)
    : id(id),
      epoll(epoll),
      state(std::move(state)),
      reader(this->state->options.max_header_bytes,
             this->state->options.max_request_bytes),
      socket(duplicate),
      last_progress(SystemClock().Now()),
      phase_since(this->last_progress) {
  epoll_event event{};
  event.events = EPOLLONESHOT;
  event.data.u64 = this->id;
  ::epoll_ctl(this->epoll, EPOLL_CTL_ADD, this->socket, &event);
}

Connection::~Connection() {
  this->Close("");
}

auto Connection::OnInput(std::string_view bytes, const Server::Handler& handler)
    -> void {
  {
    std::lock_guard lock(this->mutex);
    if (this->ignores_input || this->socket < 0) {
      return;
    }
  }
  this->reader.Append(bytes);
  while (true) {
    auto result = this->reader.Next();
    if (auto* read = std::get_if<ReadRequest>(&result)) {
      auto exchange = this->Accept(*read);
      if (exchange == nullptr) {
        return;
      }
      Responder responder(std::move(exchange));
      try {
        handler(std::move(read->request), std::move(responder));
      } catch (...) {
        this->state->Count("http_handler_exceptions_total", "");
      }
      continue;
    }
    std::lock_guard lock(this->mutex);
    if (const auto* error = std::get_if<ReadError>(&result)) {
      this->RefuseLocked(*error);
      return;
    }
    if (this->reader.TakeContinue()) {
      this->SendContinueLocked();
    }
    this->has_unhandled_input = false;
    this->SetPhaseLocked(this->reader.CurrentPhase());
    return;
  }
}

auto Connection::Accept(ReadRequest& read) -> std::shared_ptr<Exchange> {
  std::lock_guard lock(this->mutex);
  if (this->ignores_input || this->socket < 0) {
    return nullptr;
  }
  if (this->pending.size() >= this->state->options.max_pipelined_requests) {
    this->RefuseLocked({429, "too_many_pipelined_requests", "",
                        "too many requests wait on this connection"});
    return nullptr;
  }
  this->SetPhaseLocked(RequestReader::Phase::kIdle);
  this->has_unhandled_input = this->reader.HasBufferedInput();
  auto exchange = std::make_shared<Exchange>();
  exchange->connection = this->shared_from_this();
  exchange->is_head = read.request.method == "HEAD";
  exchange->is_http10 = read.is_http10;
  exchange->closes_connection = !read.keep_alive;
  exchange->is_counted = true;
  this->ignores_input = exchange->closes_connection;
  this->state->open_requests.fetch_add(1);
  this->pending.push_back(exchange);
  return exchange;
}

auto Connection::RefuseLocked(const ReadError& error) -> void {
  if (this->ignores_input || this->socket < 0) {
    return;
  }
  this->state->Count("http_refused_total", error.reason);
  auto response = RefusalResponse(error);
  auto exchange = std::make_shared<Exchange>();
  exchange->closes_connection = true;
  exchange->has_response = true;
  exchange->header = HeaderText(response);
  exchange->body = std::move(response.body);
  this->ignores_input = true;
  this->ready_response_bytes += exchange->header.size() + exchange->body.size();
  this->pending.push_back(std::move(exchange));
  this->FlushLocked();
}

auto Connection::SendContinueLocked() -> void {
  if (this->ignores_input || !this->pending.empty() || this->socket < 0) {
    return;  // The client sends the body anyway after a short wait.
  }
  this->PushLocked("HTTP/1.1 100 Continue\r\n\r\n", false);
  this->WriteLocked();
}

auto Connection::SetPhaseLocked(RequestReader::Phase next) -> void {
  const bool is_new_request = this->phase == RequestReader::Phase::kIdle;
  if (next != this->phase || is_new_request) {
    this->phase = next;
    this->phase_since = SystemClock().Now();
  }
}

auto Connection::OnInputEnd() -> void {
  std::lock_guard lock(this->mutex);
  this->input_ended = true;
  this->ignores_input = true;
  if (this->pending.empty() && this->output.IsEmpty()) {
    this->CloseLocked("");
  }
}

auto Connection::QueueResponse(Exchange& exchange, Response response) -> bool {
  auto header = HeaderText(response);
  std::lock_guard lock(this->mutex);
  if (exchange.has_response) {
    return false;
  }
  exchange.has_response = true;
  if (this->socket < 0) {
    this->state->EndRequest();
    return false;
  }
  const bool has_body = !exchange.is_head && AllowsBody(response.status);
  const auto size = header.size() + (has_body ? response.body.size() : 0);
  const auto limit = this->state->options.max_waiting_bytes_per_connection;
  if (this->QueuedBytesLocked() + size > limit) {
    this->CloseLocked("byte_limit");
    return false;
  }
  exchange.header = std::move(header);
  if (has_body) {
    exchange.body = std::move(response.body);
  }
  this->ready_response_bytes += size;
  return this->FlushLocked();
}

auto Connection::FlushLocked() -> bool {
  while (!this->pending.empty() && this->pending.front()->has_response) {
    this->MoveFrontToOutputLocked();
  }
  return this->WriteLocked();
}

auto Connection::MoveFrontToOutputLocked() -> void {
  const auto exchange = std::move(this->pending.front());
  this->pending.pop_front();
  this->ready_response_bytes -= exchange->header.size() + exchange->body.size();
  // A request that is already being received is served before the close.
  const bool closes_for_drain =
      this->state->draining && this->pending.empty() &&
      this->phase == RequestReader::Phase::kIdle &&
      !this->has_unhandled_input && !this->HasUnreadInputLocked();
  if (closes_for_drain) {
    exchange->closes_connection = true;
    this->ignores_input = true;
  }
  if (exchange->closes_connection) {
    exchange->header += "Connection: close\r\n";
  } else if (exchange->is_http10) {
    exchange->header += "Connection: keep-alive\r\n";
  }
  exchange->header += "\r\n";
  const bool has_body = !exchange->body.empty();
  this->PushLocked(std::move(exchange->header),
                   exchange->is_counted && !has_body);
  if (has_body) {
    this->PushLocked(std::move(exchange->body), exchange->is_counted);
  }
}

auto Connection::PushLocked(std::string bytes, bool completes_request) -> void {
  if (this->output.IsEmpty()) {
    this->last_progress = SystemClock().Now();
  }
  this->output.Push(std::move(bytes), completes_request);
}

auto Connection::WriteLocked() -> bool {
  const auto result = this->output.Write(this->socket);
  for (std::size_t i = 0; i < result.completed_requests; ++i) {
    this->state->EndRequest();
  }
  if (result.bytes > 0) {
    this->last_progress = SystemClock().Now();
  }
  switch (result.status) {
    case OutputQueue::Status::kFailed:
      this->CloseLocked("write_failed");
      return false;
    case OutputQueue::Status::kBlocked:
      this->WatchWritableLocked();
      break;
    case OutputQueue::Status::kEmpty:
      if (this->ignores_input && this->pending.empty()) {
        this->FinishLocked("");
      }
      break;
  }
  return true;
}

auto Connection::WatchWritableLocked() -> void {
  epoll_event event{};
  event.events = EPOLLOUT | EPOLLONESHOT;
  event.data.u64 = this->id;
  ::epoll_ctl(this->epoll, EPOLL_CTL_MOD, this->socket, &event);
}

auto Connection::OnWritable() -> void {
  std::lock_guard lock(this->mutex);
  if (!this->output.IsEmpty()) {
    this->WriteLocked();
  }
}

auto Connection::OnTick(TimePoint now) -> bool {
  const auto& options = this->state->options;
  std::lock_guard lock(this->mutex);
  if (this->socket < 0) {
    return true;
  }
  if (this->is_write_shut_down) {
    if (now - this->write_shut_down_at > kLingerTimeout) {
      this->CloseLocked("");
    }
  } else if (!this->output.IsEmpty() &&
             now - this->last_progress > options.write_timeout) {
    this->CloseLocked("write_timeout");
  } else if (!this->ignores_input) {
    const auto phase_time = now - this->phase_since;
    if (this->phase == RequestReader::Phase::kHeader &&
        phase_time > options.header_timeout) {
      this->RefuseLocked({408, "header_timeout", "header",
                          "the header did not arrive in time"});
    } else if (this->phase == RequestReader::Phase::kBody &&
               phase_time > options.body_timeout) {
      this->RefuseLocked(
          {408, "body_timeout", "body", "the body did not arrive in time"});
    } else {
      this->CloseIfIdleLocked(now);
    }
  }
  return this->socket < 0;
}

auto Connection::CloseIfIdleLocked(TimePoint now) -> void {
  if (!this->pending.empty() || !this->output.IsEmpty() ||
      this->phase != RequestReader::Phase::kIdle) {
    return;
  }
  const auto idle = now - std::max(this->phase_since, this->last_progress);
  const bool is_expired = idle > this->state->options.keep_alive_timeout;
  if (!is_expired && (!this->state->draining || idle <= kDrainIdleTimeout)) {
    return;
  }
  // A request that was read and is not handled yet must still be answered.
  const std::unique_lock reading(this->state->reading, std::try_to_lock);
  if (!reading || this->HasUnreadInputLocked()) {
    return;
  }
  if (is_expired) {
    this->FinishLocked("keep_alive_timeout");
  } else {
    this->FinishLocked("drain");
  }
}

auto Connection::IsFinishing() const -> bool {
  std::lock_guard lock(this->mutex);
  return this->socket < 0 || this->is_write_shut_down;
}

auto Connection::DropOpenRequests() -> void {
  std::lock_guard lock(this->mutex);
  if (this->socket < 0 || this->pending.empty()) {
    return;
  }
  for (const auto& exchange : this->pending) {
    if (exchange->has_response) {
      continue;
    }
    auto response = DroppedResponse(kGatewayTimeout);
    exchange->has_response = true;
    exchange->header = HeaderText(response);
    if (!exchange->is_head) {
      exchange->body = std::move(response.body);
    }
    this->ready_response_bytes +=
        exchange->header.size() + exchange->body.size();
  }
  this->pending.back()->closes_connection = true;
  this->ignores_input = true;
  this->FlushLocked();
}

auto Connection::FinishLocked(const std::string& reason) -> void {
  if (this->is_write_shut_down) {
    return;
  }
  this->ignores_input = true;
  if (this->input_ended) {
    this->CloseLocked(reason);
    return;
  }
  // First, without waiting for a lock: a request that arrives between the look
  // at the unread input and this gets no answer.
  ::shutdown(this->socket, SHUT_WR);
  this->is_write_shut_down = true;
  this->write_shut_down_at = SystemClock().Now();
  if (!reason.empty()) {
    this->state->Count("http_connections_closed_total", reason);
  }
}

auto Connection::Close(const std::string& reason) -> void {
  std::lock_guard lock(this->mutex);
  this->CloseLocked(reason);
}

auto Connection::CloseLocked(const std::string& reason) -> void {
  if (this->socket < 0) {
    return;
  }
  if (!reason.empty()) {
    this->state->Count("http_connections_closed_total", reason);
  }
  // Wakes Pistache, which then closes its own descriptor of the socket.
  ::shutdown(this->socket, SHUT_RDWR);
  ::epoll_ctl(this->epoll, EPOLL_CTL_DEL, this->socket, nullptr);
  ::close(std::exchange(this->socket, -1));
  this->ignores_input = true;
  auto completed = this->output.Clear();
  for (const auto& exchange : this->pending) {
    completed += exchange->is_counted && exchange->has_response ? 1 : 0;
  }
  for (std::size_t i = 0; i < completed; ++i) {
    this->state->EndRequest();
  }
  this->pending.clear();
  this->ready_response_bytes = 0;
}

auto Connection::HasUnreadInputLocked() const -> bool {
  int unread = 0;
  return ::ioctl(this->socket, FIONREAD, &unread) == 0 && unread > 0;
}

auto Connection::QueuedBytesLocked() const -> std::size_t {
  return this->ready_response_bytes + this->output.Size();
}

}  // namespace shallotbank::http
