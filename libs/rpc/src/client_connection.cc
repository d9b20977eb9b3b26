#include "client_connection.h"

#include <linux/tcp.h>
#include <netinet/in.h>

#include <utility>

#include "kj_time.h"
#include "reader_options.h"
#include "wire_call.h"

namespace shallotbank::rpc {
namespace {

auto Bootstrap(capnp::RpcSystem<capnp::rpc::twoparty::VatId>& system)
    -> wire::Peer::Client {
  capnp::MallocMessageBuilder message;
  auto server = message.initRoot<capnp::rpc::twoparty::VatId>();
  server.setSide(capnp::rpc::twoparty::Side::SERVER);
  return system.bootstrap(server).castAs<wire::Peer>();
}

}  // namespace

ClientConnection::ClientConnection(const ClientContext& context,
                                   kj::Own<kj::AsyncIoStream> connected)
    : context(context),
      stream(kj::mv(connected)),
      network(*this->stream,
              capnp::rpc::twoparty::Side::CLIENT,
              ReaderOptionsFor(context.options.max_message_bytes)),
      system(capnp::makeRpcClient(this->network)),
      peer(Bootstrap(this->system)),
      last_response(context.timer.now()) {}

auto ClientConnection::Ping() -> kj::Promise<void> {
  return this->peer.pingRequest().send().then(
      [this](auto&& /*response*/) { this->RecordResponse(); });
}

auto ClientConnection::Watch() -> kj::Promise<std::string> {
  return this->network.onDisconnect()
      .then([] { return std::string("closed"); },
            [](kj::Exception&&) { return std::string("malformed"); })
      .exclusiveJoin(this->PingLoop());
}

auto ClientConnection::PingLoop() -> kj::Promise<std::string> {
  const auto& options = this->context.options;
  auto& timer = this->context.timer;
  const auto due = this->last_response + ToKj(options.ping_interval);
  if (timer.now() < due) {
    return timer.atTime(due).then([this] { return this->PingLoop(); });
  }
  return timer.timeoutAfter(ToKj(options.ping_deadline), this->Ping())
      .then([this] { return this->PingLoop(); },
            [](kj::Exception&& error) -> kj::Promise<std::string> {
              const bool is_timeout =
                  error.getType() == kj::Exception::Type::OVERLOADED;
              return std::string(is_timeout ? "silent" : "closed");
            });
}

auto ClientConnection::Send(const AnyRequest& request)
    -> kj::Promise<AnyResponse> {
  return SendCall(this->peer, request).then([this](AnyResponse response) {
    this->RecordResponse();
    return response;
  });
}

auto ClientConnection::ReadTraffic() -> Traffic {
  tcp_info info{};
  kj::uint length = sizeof(info);
  this->stream->getsockopt(IPPROTO_TCP, TCP_INFO, &info, &length);
  return {.bytes_sent = info.tcpi_bytes_sent,
          .bytes_received = info.tcpi_bytes_received,
          .segments_sent = info.tcpi_segs_out,
          .segments_received = info.tcpi_segs_in};
}

}  // namespace shallotbank::rpc
