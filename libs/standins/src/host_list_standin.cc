#include "standins/host_list_standin.h"

#include "json_response.h"

namespace shallotbank::standins {

HostListStandin::HostListStandin(std::uint16_t port)
    : server(std::make_unique<http::Server>(
          http::ServerOptions{.port = port, .max_request_bytes = 8 << 20},
          [this](const http::Request& request, http::Responder responder) {
            this->Handle(request, std::move(responder));
          })) {}

HostListStandin::~HostListStandin() {
  this->server->Stop();
}

auto HostListStandin::Start() -> boost::leaf::result<void> {
  return this->server->Start();
}

auto HostListStandin::Url() const -> std::string {
  return "http://127.0.0.1:" + std::to_string(this->server->Port());
}

auto HostListStandin::SetHosts(nlohmann::json new_hosts) -> void {
  std::lock_guard lock(this->mutex);
  this->hosts = std::move(new_hosts);
}

auto HostListStandin::SetState(const std::string& name,
                               const std::string& state) -> void {
  std::lock_guard lock(this->mutex);
  for (auto& host : this->hosts) {
    if (host.value("name", "") == name) {
      host["state"] = state;
    }
  }
}

auto HostListStandin::SetFaults(Faults new_faults) -> void {
  std::lock_guard lock(this->mutex);
  this->faults = new_faults;
}

auto HostListStandin::Handle(const http::Request& request,
                             http::Responder responder) -> void {
  bool silent = false;
  bool down = false;
  {
    std::lock_guard lock(this->mutex);
    silent = this->faults.silent;
    down = this->faults.down;
  }
  const bool is_list_read = request.method == "GET";
  if (is_list_read && silent) {
    this->dropper.KeepOpen(std::move(responder));
  } else if (is_list_read && down) {
    responder.Send(ErrorResponse(503, "the host list is down"));
  } else {
    responder.Send(this->Answer(request));
  }
}

auto HostListStandin::Answer(const http::Request& request) -> http::Response {
  if (request.method == "GET") {
    std::lock_guard lock(this->mutex);
    return JsonResponse(200, {{"hosts", this->hosts}});
  }
  auto body = ParseBody(request);
  if (!body.is_object()) {
    return ErrorResponse(400, "the body must be a JSON object");
  }
  if (request.path == "/hosts") {
    this->SetHosts(body.value("hosts", nlohmann::json::array()));
  } else if (request.path == "/state") {
    this->SetState(body.value("name", ""), body.value("state", "live"));
  } else {
    std::lock_guard lock(this->mutex);
    MergeFaults(body, this->faults);
  }
  return JsonResponse(200, nlohmann::json::object());
}

}  // namespace shallotbank::standins
