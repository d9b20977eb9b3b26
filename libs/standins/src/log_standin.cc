#include "standins/log_standin.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "json_response.h"

namespace shallotbank::standins {
namespace {

constexpr std::uint64_t kMaxRecordsPerRead = 1000;
constexpr std::size_t kMaxBytesPerRead = 4 << 20;

}  // namespace

LogStandin::LogStandin(std::uint16_t port)
    : server(std::make_unique<http::Server>(
          http::ServerOptions{.port = port, .max_request_bytes = 8 << 20},
          [this](const http::Request& request, http::Responder responder) {
            this->Handle(request, std::move(responder));
          })) {}

LogStandin::~LogStandin() {
  this->server->Stop();
}

auto LogStandin::Start() -> boost::leaf::result<void> {
  return this->server->Start();
}

auto LogStandin::Url() const -> std::string {
  return "http://127.0.0.1:" + std::to_string(this->server->Port());
}

auto LogStandin::SetFaults(Faults new_faults) -> void {
  std::lock_guard lock(this->mutex);
  this->faults = new_faults;
}

auto LogStandin::ExpireBefore(std::uint64_t offset) -> void {
  std::lock_guard lock(this->mutex);
  while (this->first_offset < offset && !this->records.empty()) {
    this->records.pop_front();
    this->first_offset++;
  }
}

auto LogStandin::AppendCount() const -> std::uint64_t {
  std::lock_guard lock(this->mutex);
  return this->appends;
}

auto LogStandin::Head() const -> std::uint64_t {
  std::lock_guard lock(this->mutex);
  return this->first_offset + this->records.size() - 1;
}

auto LogStandin::Handle(const http::Request& request, http::Responder responder)
    -> void {
  if (request.path == "/control") {
    responder.Send(this->Control(request));
    return;
  }
  Faults current;
  {
    std::lock_guard lock(this->mutex);
    current = this->faults;
  }
  if (current.silent) {
    this->dropper.KeepOpen(std::move(responder));
    return;
  }
  if (current.down) {
    responder.Send(ErrorResponse(503, "the log is down"));
    return;
  }
  const bool is_append = request.method == "POST";
  auto response = is_append ? this->Append(request.body) : this->Read(request);
  if (is_append && this->dropper.ShouldDrop(current.lose_answers)) {
    this->dropper.KeepOpen(std::move(responder));
    return;
  }
  auto shared_responder =
      std::make_shared<http::Responder>(std::move(responder));
  this->delays.RunAfter(
      current.delay,
      [shared_responder, response = std::move(response)]() mutable {
        shared_responder->Send(std::move(response));
      });
}

auto LogStandin::Append(const std::string& data) -> http::Response {
  std::lock_guard lock(this->mutex);
  this->records.push_back(data);
  this->appends++;
  return JsonResponse(
      200, {{"offset", this->first_offset + this->records.size() - 1}});
}

auto LogStandin::Read(const http::Request& request) -> http::Response {
  const auto from = std::max<std::uint64_t>(QueryNumber(request, "from", 1), 1);
  const auto max = std::min(QueryNumber(request, "max", kMaxRecordsPerRead),
                            kMaxRecordsPerRead);
  std::lock_guard lock(this->mutex);
  const auto next = this->first_offset + this->records.size();
  if (from < this->first_offset) {
    return JsonResponse(410, {{"first", this->first_offset}, {"next", next}});
  }
  auto entries = nlohmann::json::array();
  std::size_t bytes = 0;
  for (auto offset = from; offset < next && entries.size() < max; ++offset) {
    const auto& data = this->records[offset - this->first_offset];
    bytes += data.size();
    if (bytes > kMaxBytesPerRead && !entries.empty()) {
      break;
    }
    entries.push_back({{"offset", offset}, {"data", data}});
  }
  return JsonResponse(
      200,
      {{"first", this->first_offset}, {"next", next}, {"records", entries}});
}

auto LogStandin::Control(const http::Request& request) -> http::Response {
  if (request.method == "POST") {
    const auto change = ParseBody(request);
    if (!change.is_object()) {
      return ErrorResponse(400, "the body must be a JSON object");
    }
    this->ExpireBefore(change.value("expire_before", std::uint64_t{0}));
    std::lock_guard lock(this->mutex);
    MergeFaults(change, this->faults);
  }
  return JsonResponse(
      200, {{"appends", this->AppendCount()}, {"head", this->Head()}});
}

}  // namespace shallotbank::standins
