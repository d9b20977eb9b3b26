#include "server_connection.h"

#include <kj/debug.h>

#include <utility>

#include "codec.h"
#include "kj_time.h"
#include "peer_service.h"
#include "reader_options.h"

namespace shallotbank::rpc {
namespace {

// Number of activity checks per inactivity timeout. A connection is closed
// after at most 1.25 times the timeout.
constexpr int kActivityChecksPerTimeout = 4;

}  // namespace

ServerConnection::ServerConnection(const ServerContext& context,
                                   std::uint64_t id,
                                   kj::Own<kj::AsyncIoStream> accepted)
    : context(context),
      calls(std::make_shared<CallTable>(context.timer.now())),
      stream(kj::mv(accepted)),
      network(*this->stream,
              capnp::rpc::twoparty::Side::SERVER,
              ReaderOptionsFor(context.options.max_message_bytes)),
      system(capnp::makeRpcServer(
          this->network,
          kj::heap<PeerService>(context, id, this->calls))) {}

auto ServerConnection::Run() -> kj::Promise<std::string> {
  return this->network.onDisconnect()
      .then([] { return std::string("disconnected"); },
            [](kj::Exception&&) { return std::string("malformed"); })
      .exclusiveJoin(this->WatchActivity());
}

auto ServerConnection::WatchActivity() -> kj::Promise<std::string> {
  const auto timeout = ToKj(this->context.options.inactivity_timeout);
  return this->context.timer.afterDelay(timeout / kActivityChecksPerTimeout)
      .then([this, timeout]() -> kj::Promise<std::string> {
        if (this->context.timer.now() - this->calls->LastCallTime() >=
            timeout) {
          return std::string("silent");
        }
        if (this->network.getOutgoingMessageWaitTime() >= timeout) {
          return std::string("answers_not_read");
        }
        return this->WatchActivity();
      });
}

auto ServerConnection::Respond(std::uint64_t call_id, AnyResponse response)
    -> bool {
  const auto& options = this->context.options;
  const auto bytes = WireBytes(response);
  const auto pending =
      this->network.getCurrentQueueSize() + this->calls->ResponseBytes();
  const char* reason = nullptr;
  if (bytes > options.max_message_bytes) {
    reason = "answer_too_large";
  } else if (pending + bytes > options.max_waiting_bytes_per_connection) {
    reason = "answers_waiting";
  }
  if (reason == nullptr) {
    return this->calls->Respond(call_id, bytes, std::move(response));
  }
  this->context.Count("rpc_server_refused_total", reason);
  return this->calls->Reject(
      call_id, KJ_EXCEPTION(OVERLOADED, "the answer was dropped", reason));
}

auto ServerConnection::Complete(std::uint64_t call_id, ReplyOutcome outcome)
    -> bool {
  if (auto* response = std::get_if<AnyResponse>(&outcome)) {
    return this->Respond(call_id, std::move(*response));
  }
  const auto& message = std::get<CallError>(outcome).message;
  return this->calls->Reject(call_id, KJ_EXCEPTION(FAILED, message.c_str()));
}

}  // namespace shallotbank::rpc
