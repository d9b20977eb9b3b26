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

auto LogStandin::SetFaults(Faults changed) -> void {
  std::lock_guard lock(this->mutex);
  this->faults = changed;
}

auto LogStandin::ExpireBefore(std::uint64_t offset) -> void {
  std::lock_guard lock(this->mutex);
  while (this->first < offset && !this->records.empty()) {
    this->records.pop_front();
    this->first++;
  }
}

auto LogStandin::AppendCount() const -> std::uint64_t {
  std::lock_guard lock(this->mutex);
  return this->appends;
}

auto LogStandin::Head() const -> std::uint64_t {
  std::lock_guard lock(this->mutex);
  return this->first + this->records.size() - 1;
}

auto LogStandin::Handle(const http::Request& request, http::Responder responder)
    -> void {
  if (request.path == "/control") {
    responder.Send(this->Control(request));
    return;
  }
  Faults now;
  {
    std::lock_guard lock(this->mutex);
    now = this->faults;
  }
  if (now.silent) {
    this->loss.Hold(std::move(responder));
    return;
  }
  if (now.down) {
    responder.Send(ErrorResponse(503, "the log is down"));
    return;
  }
  const bool is_append = request.method == "POST";
  auto response = is_append ? this->Append(request.body) : this->Read(request);
  if (is_append && this->loss.IsLost(now.lose_answers)) {
    this->loss.Hold(std::move(responder));
    return;
  }
  auto held = std::make_shared<http::Responder>(std::move(responder));
  this->delays.RunAfter(now.delay,
                        [held, response = std::move(response)]() mutable {
                          held->Send(std::move(response));
                        });
}

auto LogStandin::Append(const std::string& data) -> http::Response {
  std::lock_guard lock(this->mutex);
  this->records.push_back(data);
  this->appends++;
  return JsonResponse(200,
                      {{"offset", this->first + this->records.size() - 1}});
}

auto LogStandin::Read(const http::Request& request) -> http::Response {
  const auto from = std::max<std::uint64_t>(QueryNumber(request, "from", 1), 1);
  const auto max = std::min(QueryNumber(request, "max", kMaxRecordsPerRead),
                            kMaxRecordsPerRead);
  std::lock_guard lock(this->mutex);
  const auto next = this->first + this->records.size();
  if (from < this->first) {
    return JsonResponse(410, {{"first", this->first}, {"next", next}});
  }
  auto found = nlohmann::json::array();
  std::size_t bytes = 0;
  for (auto offset = from; offset < next && found.size() < max; ++offset) {
    const auto& data = this->records[offset - this->first];
    bytes += data.size();
    if (bytes > kMaxBytesPerRead && !found.empty()) {
      break;
    }
    found.push_back({{"offset", offset}, {"data", data}});
  }
  return JsonResponse(
      200, {{"first", this->first}, {"next", next}, {"records", found}});
}

auto LogStandin::Control(const http::Request& request) -> http::Response {
  if (request.method == "POST") {
    const auto change = ParseBody(request);
    if (!change.is_object()) {
      return ErrorResponse(400, "the body must be a JSON object");
    }
    this->ExpireBefore(change.value("expire_before", std::uint64_t{0}));
    std::lock_guard lock(this->mutex);
    Merge(change, this->faults);
  }
  return JsonResponse(
      200, {{"appends", this->AppendCount()}, {"head", this->Head()}});
}

}  // namespace shallotbank::standins
