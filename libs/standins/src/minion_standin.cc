#include "standins/minion_standin.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "json_response.h"

namespace shallotbank::standins {
namespace {

constexpr std::string_view kPrefix = "/minions/";

}  // namespace

MinionStandin::MinionStandin(std::uint16_t port, int slots)
    : slots(slots),
      server(std::make_unique<http::Server>(
          http::ServerOptions{.port = port, .threads = 2},
          [this](http::Request request, http::Responder responder) {
            this->Handle(std::move(request), std::move(responder));
          })) {}

MinionStandin::~MinionStandin() {
  this->server->Stop();
}

auto MinionStandin::Start() -> boost::leaf::result<void> {
  return this->server->Start();
}

auto MinionStandin::Url() const -> std::string {
  return "http://127.0.0.1:" + std::to_string(this->server->Port());
}

auto MinionStandin::RepeatedRuns() const -> std::uint64_t {
  std::lock_guard lock(this->mutex);
  return this->repeated_runs;
}

auto MinionStandin::Runs() const -> std::uint64_t {
  std::lock_guard lock(this->mutex);
  return this->runs;
}

auto MinionStandin::RunsOf(const std::string& request_id) const
    -> std::uint64_t {
  std::lock_guard lock(this->mutex);
  const auto found = this->runs_by_request.find(request_id);
  return found == this->runs_by_request.end() ? 0 : found->second;
}

auto MinionStandin::MaxConcurrency() const -> int {
  std::lock_guard lock(this->mutex);
  return this->max_concurrency;
}

auto MinionStandin::SetFaults(const std::string& minion, Faults faults)
    -> void {
  std::lock_guard lock(this->mutex);
  this->minions[minion].faults = faults;
}

auto MinionStandin::SetServiceTime(Duration time) -> void {
  std::lock_guard lock(this->mutex);
  this->service_time = time;
}

auto MinionStandin::Handle(http::Request request, http::Responder responder)
    -> void {
  if (request.path == "/control") {
    responder.Send(this->Control(request));
    return;
  }
  if (!request.path.starts_with(kPrefix)) {
    responder.Send(ErrorResponse(404, "unknown path"));
    return;
  }
  const auto minion_path = request.path.substr(kPrefix.size());
  this->Run(minion_path.substr(0, minion_path.find('/')), std::move(request),
            std::move(responder));
}

auto MinionStandin::Run(const std::string& name,
                        http::Request request,
                        http::Responder responder) -> void {
  const auto* id = request.FindHeader("Shallotbank-Request-Id");
  Faults faults;
  Duration time{};
  {
    std::lock_guard lock(this->mutex);
    auto& minion = this->minions[name];
    faults = minion.faults;
    if (faults.silent || faults.down) {
      time = Duration::zero();
    } else {
      minion.running++;
      minion.runs++;
      this->runs++;
      this->max_concurrency = std::max(this->max_concurrency, minion.running);
      this->overloads += minion.running > this->slots ? 1 : 0;
      if (id != nullptr && ++this->runs_by_request[*id] > 1) {
        this->repeated_runs++;
      }
      time =
          (minion.has_service_time ? minion.service_time : this->service_time) +
          faults.delay;
    }
  }
  if (faults.silent) {
    this->dropper.KeepOpen(std::move(responder));
    return;
  }
  if (faults.down) {
    responder.Send(ErrorResponse(503, "the minion is down"));
    return;
  }
  auto shared_responder =
      std::make_shared<http::Responder>(std::move(responder));
  auto body = nlohmann::json{{"minion", name},
                             {"request", id == nullptr ? "" : *id},
                             {"echo", std::move(request.body)}};
  this->delays.RunAfter(
      time, [this, name, shared_responder, faults, body = std::move(body)] {
        {
          std::lock_guard lock(this->mutex);
          this->minions[name].running--;
        }
        if (this->dropper.ShouldDrop(faults.lose_answers)) {
          this->dropper.KeepOpen(std::move(*shared_responder));
          return;
        }
        shared_responder->Send(JsonResponse(200, body));
      });
}

auto MinionStandin::Control(const http::Request& request) -> http::Response {
  if (request.method == "POST") {
    const auto change = ParseBody(request);
    if (!change.is_object()) {
      return ErrorResponse(400, "the body must be a JSON object");
    }
    std::lock_guard lock(this->mutex);
    const auto time =
        std::chrono::milliseconds(change.value("service_ms", std::int64_t{-1}));
    if (change.contains("minion")) {
      auto& minion = this->minions[change["minion"].get<std::string>()];
      MergeFaults(change, minion.faults);
      if (time.count() >= 0) {
        minion.service_time = time;
        minion.has_service_time = true;
      }
    } else if (time.count() >= 0) {
      this->service_time = time;
    }
  }
  std::lock_guard lock(this->mutex);
  nlohmann::json runs_by_minion = nlohmann::json::object();
  for (const auto& [name, minion] : this->minions) {
    runs_by_minion[name] = minion.runs;
  }
  return JsonResponse(200, {{"runs", this->runs},
                            {"repeated", this->repeated_runs},
                            {"overloads", this->overloads},
                            {"most_at_once", this->max_concurrency},
                            {"runs_by_minion", runs_by_minion}});
}

}  // namespace shallotbank::standins
