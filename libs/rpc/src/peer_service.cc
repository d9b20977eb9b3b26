#include "peer_service.h"

#include <kj/debug.h>

#include <type_traits>
#include <utility>

#include "codec.h"
#include "server_core.h"

namespace shallotbank::rpc {
namespace {

auto SizeHint(const AnyResponse& response) -> capnp::MessageSize {
  return {.wordCount = WireBytes(response) / sizeof(capnp::word),
          .capCount = 0};
}

}  // namespace

PeerService::PeerService(const ServerContext& context,
                         std::uint64_t connection_id,
                         std::shared_ptr<CallTable> calls)
    : context(context), connection_id(connection_id), calls(std::move(calls)) {}

auto PeerService::RefusalReason(std::size_t bytes) const -> const char* {
  const auto& options = this->context.options;
  if (this->calls->Size() >= options.max_calls_per_connection) {
    return "connection_calls";
  }
  if (this->calls->RequestBytes() + bytes >
      options.max_waiting_bytes_per_connection) {
    return "connection_bytes";
  }
  if (*this->context.pending_replies >= options.max_pending_replies) {
    return "server_calls";
  }
  return nullptr;
}

template <typename Request, typename Context>
auto PeerService::Refuse(Context context, const char* reason)
    -> kj::Promise<void> {
  this->context.Count("rpc_server_refused_total", reason);
  if constexpr (std::is_same_v<Request, ForwardRequest>) {
    // A regular response, because an exception cannot carry kNotRun.
    const ForwardResponse refusal{.verdict = Verdict::kNotRun,
                                  .status = 503,
                                  .headers = {},
                                  .body = "",
                                  .reason = reason};
    Write(refusal, context.getResults());
    return kj::READY_NOW;
  } else {
    return KJ_EXCEPTION(OVERLOADED, "the server refused the call", reason);
  }
}

template <typename Response>
auto PeerService::MakeReply(std::uint64_t call_id) -> Reply<Response> {
  const auto pending = this->context.pending_replies;
  ++*pending;
  const std::shared_ptr<void> count_guard(
      nullptr, [pending](void* /*unused*/) { --*pending; });
  return Reply<Response>([mailbox = this->context.mailbox,
                          connection_id = this->connection_id, call_id,
                          count_guard](ReplyOutcome outcome) {
    mailbox->Post([connection_id, call_id, count_guard,
                   outcome = std::move(outcome)](ServerCore& core) mutable {
      core.Complete(connection_id, call_id, std::move(outcome));
    });
  });
}

template <typename Request, typename Context>
auto PeerService::Serve(Context context) -> kj::Promise<void> {
  using Response = typename Request::Response;
  this->calls->RecordCall(this->context.timer.now());
  Request request = Read(context.getParams());
  context.releaseParams();
  // A call whose caller cancelled it or disconnected is removed immediately.
  context.allowCancellation();
  const auto bytes = WireBytes(AnyRequest(request));
  if (const char* reason = this->RefusalReason(bytes)) {
    return this->Refuse<Request>(context, reason);
  }
  auto response_promise = kj::newPromiseAndFulfiller<AnyResponse>();
  const auto id = this->calls->Add(bytes, kj::mv(response_promise.fulfiller));
  auto done =
      response_promise.promise
          .then([context](AnyResponse response) mutable {
            Write(std::get<Response>(response),
                  context.getResults(SizeHint(response)));
          })
          .attach(kj::defer([table = this->calls, id] { table->Remove(id); }));
  this->context.handler(
      Incoming<Request>{std::move(request), this->MakeReply<Response>(id)});
  return done;
}

auto PeerService::ping(PingContext /*context*/) -> kj::Promise<void> {
  this->calls->RecordCall(this->context.timer.now());
  return kj::READY_NOW;
}

auto PeerService::heartbeat(HeartbeatContext context) -> kj::Promise<void> {
  return this->Serve<HeartbeatRequest>(context);
}

auto PeerService::witness(WitnessContext context) -> kj::Promise<void> {
  return this->Serve<WitnessRequest>(context);
}

auto PeerService::readRecords(ReadRecordsContext context) -> kj::Promise<void> {
  return this->Serve<ReadRecordsRequest>(context);
}

auto PeerService::jobStatus(JobStatusContext context) -> kj::Promise<void> {
  return this->Serve<JobStatusRequest>(context);
}

auto PeerService::listJobs(ListJobsContext context) -> kj::Promise<void> {
  return this->Serve<ListJobsRequest>(context);
}

auto PeerService::forwardRequest(ForwardRequestContext context)
    -> kj::Promise<void> {
  return this->Serve<ForwardRequest>(context);
}

auto PeerService::explain(ExplainContext context) -> kj::Promise<void> {
  return this->Serve<ExplainRequest>(context);
}

}  // namespace shallotbank::rpc
