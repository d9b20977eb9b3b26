#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "exchange.h"
#include "output_queue.h"
#include "request_reader.h"
#include "server_state.h"

namespace shallotbank::http {

/// One accepted connection. Its responses are written to a duplicate of the
/// socket, so they cannot reach a later connection that reuses the same
/// descriptor number. Responses are sent in the order of the requests.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  /// Takes ownership of `duplicate`. `epoll` must stay open until Close.
  Connection(std::uint64_t id,
             int duplicate,
             int epoll,
             std::shared_ptr<ServerState> state);
  ~Connection();
  Connection(const Connection&) = delete;
  auto operator=(const Connection&) -> Connection& = delete;

  auto Id() const -> std::uint64_t { return this->id; }

  /// Bytes from the client, on the Pistache thread of this connection.
  auto OnInput(std::string_view bytes, const Server::Handler& handler) -> void;
  /// The client has closed its sending side. Responses still due are written:
  /// the client may still read.
  auto OnInputEnd() -> void;

  /// Queues the response of `exchange`; see Responder::Send.
  auto QueueResponse(Exchange& exchange, Response response) -> bool;

  /// The socket is writable again, or has failed.
  auto OnWritable() -> void;
  /// Applies all time limits. True once the connection is closed.
  auto OnTick(TimePoint now) -> bool;
  /// True if the connection is closed or will not take another request.
  auto IsFinishing() const -> bool;
  /// Answers the requests that have no response yet as dropped. Their later
  /// responses are ignored, and so is further input.
  auto DropOpenRequests() -> void;
  auto Close(const std::string& reason) -> void;

 private:
  auto Accept(ReadRequest& read) -> std::shared_ptr<Exchange>;
  auto RefuseLocked(const ReadError& error) -> void;
  auto SendContinueLocked() -> void;
  auto SetPhaseLocked(RequestReader::Phase next) -> void;
  /// False if the client has disconnected.
  auto FlushLocked() -> bool;
  auto MoveFrontToOutputLocked() -> void;
  auto PushLocked(std::string bytes, bool completes_request) -> void;
  auto WriteLocked() -> bool;
  auto WatchWritableLocked() -> void;
  auto FinishLocked(const std::string& reason) -> void;
  auto CloseLocked(const std::string& reason) -> void;
  auto CloseIfIdleLocked(TimePoint now) -> void;
  auto HasUnreadInputLocked() const -> bool;
  auto QueuedBytesLocked() const -> std::size_t;

  const std::uint64_t id;
  const int epoll;
  const std::shared_ptr<ServerState> state;
  RequestReader reader;  ///< Used by the Pistache thread only.

  mutable std::mutex mutex;
  int socket;  ///< The duplicate; -1 once closed.
  std::deque<std::shared_ptr<Exchange>> pending;
  /// Size of the responses that wait for an earlier one.
  std::size_t ready_response_bytes = 0;
  OutputQueue output;
  bool ignores_input = false;  ///< No further request is accepted.
  /// What follows the latest request was read and is not handled yet.
  bool has_unhandled_input = false;
  bool input_ended = false;
  bool is_write_shut_down = false;  ///< All responses written, FIN sent.
  TimePoint write_shut_down_at;
  TimePoint last_progress;
  RequestReader::Phase phase = RequestReader::Phase::kIdle;
  TimePoint phase_since;
};

}  // namespace shallotbank::http
