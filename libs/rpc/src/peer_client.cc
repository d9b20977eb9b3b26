#include "rpc/peer_client.h"

#include <algorithm>
#include <future>
#include <mutex>

#include "address.h"
#include "client_core.h"
#include "codec.h"
#include "event_loop_thread.h"
#include "peer_loads.h"

namespace shallotbank::rpc {

class PeerClient::Impl {
 public:
  using Done = std::function<void(CallResult<AnyResponse>)>;

  explicit Impl(PeerClientOptions given)
      : options(given),
        call_limiter(this->options),
        loop([this](kj::AsyncIoContext& io, const auto& /*mailbox*/) {
          return std::make_unique<ClientCore>(io, this->options,
                                              this->call_limiter);
        }) {}

  auto Submit(const std::string& address,
              AnyRequest request,
              Duration timeout,
              Done done) -> void {
    const auto bytes = WireBytes(request);
    if (!ParseAddress(address)) {
      return this->Refuse(done, "bad_address",
                          "not a numeric IP address with a port");
    }
    if (bytes > this->options.max_message_bytes) {
      return this->Refuse(done, "too_large",
                          "the request exceeds the size limit");
    }
    if (const char* reason = this->call_limiter.Admit(address, bytes)) {
      return this->Refuse(done, reason,
                          "too many open calls or bytes for the peer");
    }
    const auto now = SystemClock().Now();
    const auto limited_timeout =
        std::min(timeout, this->options.max_call_timeout);
    auto call = std::make_shared<PendingCall>(
        PendingCall{.address = address,
                    .request = std::move(request),
                    .done = std::move(done),
                    .bytes = bytes,
                    .start = now,
                    .deadline = now + limited_timeout});
    if (!this->loop.Post([call](ClientCore& core) { core.Start(call); })) {
      this->call_limiter.Release(address, bytes);
      this->Refuse(call->done, "stopped", "the client was stopped");
    }
  }

  auto ReadTraffic() -> Traffic {
    auto result = std::make_shared<std::promise<Traffic>>();
    auto future = result->get_future();
    const bool is_running = this->loop.Post(
        [result](ClientCore& core) { result->set_value(core.ReadTraffic()); });
    return is_running ? future.get() : Traffic{};
  }

  auto Stop() -> void { this->loop.Stop(); }

 private:
  /// Refuses a call on the thread of the caller.
  auto Refuse(const Done& done, const char* reason, const char* message) const
      -> void {
    if (this->options.metrics != nullptr) {
      this->options.metrics->Add("rpc_calls_not_run_total", reason);
    }
    done({.verdict = Verdict::kNotRun,
          .response = std::nullopt,
          .reason = reason,
          .message = message});
  }

  const PeerClientOptions options;
  PeerCallLimiter call_limiter;
  EventLoopThread<ClientCore> loop;
};

PeerClient::PeerClient(PeerClientOptions options)
    : impl(std::make_unique<Impl>(options)) {}

PeerClient::~PeerClient() {
  // Stops while `impl` is still valid, because a result callback may start
  // another call.
  this->impl->Stop();
}

auto PeerClient::Submit(const std::string& address,
                        AnyRequest request,
                        Duration timeout,
                        std::function<void(CallResult<AnyResponse>)> done)
    -> void {
  this->impl->Submit(address, std::move(request), timeout, std::move(done));
}

auto PeerClient::ReadTraffic() -> Traffic {
  return this->impl->ReadTraffic();
}

auto PeerClient::Stop() -> void {
  this->impl->Stop();
}

}  // namespace shallotbank::rpc
