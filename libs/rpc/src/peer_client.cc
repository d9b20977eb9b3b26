#include "rpc/peer_client.h"

#include <algorithm>
#include <future>
#include <mutex>

#include "address.h"
#include "client_core.h"
#include "codec.h"
#include "loop_thread.h"
#include "peer_loads.h"

namespace shallotbank::rpc {

class PeerClient::Impl {
 public:
  using Done = std::function<void(CallResult<AnyResponse>)>;

  explicit Impl(PeerClientOptions given)
      : options(given),
        loads(this->options),
        loop([this](kj::AsyncIoContext& io, const auto& /*mailbox*/) {
          return std::make_unique<ClientCore>(io, this->options, this->loads);
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
                          "the request is above the size limit");
    }
    if (const char* reason = this->loads.Admit(address, bytes)) {
      return this->Refuse(done, reason,
                          "too many open calls or bytes for the peer");
    }
    const auto now = SystemClock().Now();
    const auto limited = std::min(timeout, this->options.highest_call_timeout);
    auto call =
        std::make_shared<OpenCall>(OpenCall{.address = address,
                                            .request = std::move(request),
                                            .done = std::move(done),
                                            .bytes = bytes,
                                            .start = now,
                                            .deadline = now + limited});
    if (!this->loop.Post([call](ClientCore& core) { core.Start(call); })) {
      this->loads.Release(address, bytes);
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
  /// Ends a call on the thread of the caller.
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
  PeerLoads loads;
  LoopThread<ClientCore> loop;
};

PeerClient::PeerClient(PeerClientOptions options)
    : impl(std::make_unique<Impl>(options)) {}

PeerClient::~PeerClient() {
  // While `impl` is whole, because a result may start another call.
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
