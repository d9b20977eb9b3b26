#include "standins/worker_standin.h"

#include <nlohmann/json.hpp>

#include "json_response.h"

namespace shallotbank::standins {
namespace {

using nlohmann::json;

constexpr std::string_view kPrefix = "/workers/";

auto NowMilliseconds() -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             SystemClock().Now().time_since_epoch())
      .count();
}

auto ToResources(const json& value) -> Resources {
  return {value.value("cores_milli", std::int64_t{0}),
          value.value("memory_mib", std::int64_t{0}),
          value.value("accelerators", std::int64_t{0})};
}

// A task id is JOB/INDEX#ATTEMPT; the attempts of a task differ only after #.
auto StripAttempt(const std::string& id) -> std::string {
  return id.substr(0, id.find('#'));
}

auto ToJson(const Resources& amount, double factor) -> json {
  auto scaled = [factor](std::int64_t value) {
    return static_cast<std::int64_t>(static_cast<double>(value) * factor);
  };
  return {{"cores_milli", scaled(amount.cores_milli)},
          {"memory_mib", scaled(amount.memory_mib)},
          {"accelerators", amount.accelerators}};
}

}  // namespace

WorkerStandin::WorkerStandin(std::uint16_t port, Resources capacity)
    : capacity(capacity),
      server(std::make_unique<http::Server>(
          http::ServerOptions{.port = port, .max_request_bytes = 8 << 20},
          [this](const http::Request& request, http::Responder responder) {
            this->Handle(request, std::move(responder));
          })) {}

WorkerStandin::~WorkerStandin() {
  this->server->Stop();
}

auto WorkerStandin::Start() -> boost::leaf::result<void> {
  return this->server->Start();
}

auto WorkerStandin::Url() const -> std::string {
  return "http://127.0.0.1:" + std::to_string(this->server->Port());
}

auto WorkerStandin::Observe() -> Observations {
  std::lock_guard lock(this->mutex);
  this->UpdateTaskStates();
  auto result = this->observations;
  for (const auto& [name, worker] : this->workers) {
    for (const auto& [id, task] : worker.tasks) {
      result.running += task.state == TaskState::kRunning ? 1 : 0;
    }
  }
  return result;
}

auto WorkerStandin::RunningTasks() -> std::map<std::string, std::string> {
  std::lock_guard lock(this->mutex);
  this->UpdateTaskStates();
  std::map<std::string, std::string> result;
  for (const auto& [name, worker] : this->workers) {
    for (const auto& [id, task] : worker.tasks) {
      if (task.state == TaskState::kRunning) {
        result[id] = name;
      }
    }
  }
  return result;
}

auto WorkerStandin::SetFaults(const std::string& worker, Faults faults)
    -> void {
  std::lock_guard lock(this->mutex);
  this->workers[worker].faults = faults;
}

auto WorkerStandin::SetFailing(const std::string& worker, bool failing)
    -> void {
  std::lock_guard lock(this->mutex);
  this->workers[worker].failing = failing;
}

auto WorkerStandin::Crash(const std::string& worker) -> void {
  std::lock_guard lock(this->mutex);
  this->UpdateTaskStates();
  this->workers[worker].tasks.clear();
}

auto WorkerStandin::Handle(const http::Request& request,
                           http::Responder responder) -> void {
  if (request.path == "/control") {
    responder.Send(this->Control(request));
    return;
  }
  const auto slash = request.path.find('/', kPrefix.size());
  if (!request.path.starts_with(kPrefix) || slash == std::string::npos) {
    responder.Send(ErrorResponse(404, "unknown path"));
    return;
  }
  const auto name = request.path.substr(kPrefix.size(), slash - kPrefix.size());
  const auto command = request.path.substr(slash + 1);
  const auto body = ParseBody(request);
  if (!body.is_object()) {
    responder.Send(ErrorResponse(400, "the body must be a JSON object"));
    return;
  }
  Faults faults;
  {
    std::lock_guard lock(this->mutex);
    faults = this->workers[name].faults;
  }
  if (faults.silent) {
    this->dropper.KeepOpen(std::move(responder));
    return;
  }
  if (faults.down) {
    responder.Send(ErrorResponse(503, "the worker is down"));
    return;
  }
  auto response = this->Execute(name, command, body);
  if (this->dropper.ShouldDrop(faults.lose_answers)) {
    this->dropper.KeepOpen(std::move(responder));
    return;
  }
  auto shared_responder =
      std::make_shared<http::Responder>(std::move(responder));
  this->delays.RunAfter(
      faults.delay,
      [shared_responder, response = std::move(response)]() mutable {
        shared_responder->Send(std::move(response));
      });
}

auto WorkerStandin::Execute(const std::string& name,
                            const std::string& command,
                            const json& body) -> http::Response {
  std::lock_guard lock(this->mutex);
  this->UpdateTaskStates();
  auto& worker = this->workers[name];
  const auto epoch = body.value("epoch", std::uint64_t{0});
  if (epoch < worker.epoch) {
    this->observations.stale_commands++;
    return JsonResponse(409, {{"error", "the epoch is stale"},
                              {"epoch", worker.epoch},
                              {"now_ms", NowMilliseconds()}});
  }
  worker.epoch = epoch;
  if ((command == "start" || command == "heartbeat") &&
      body.value("not_after_ms", std::int64_t{0}) < NowMilliseconds()) {
    this->observations.late_commands++;
    return JsonResponse(412, {{"error", "not_after has passed"},
                              {"now_ms", NowMilliseconds()}});
  }
  if (command == "start") {
    return JsonResponse(200, {{"results", this->StartTasks(worker, body)},
                              {"now_ms", NowMilliseconds()}});
  }
  if (command == "stop") {
    this->StopTasks(worker, body);
  } else if (command == "heartbeat") {
    this->HandleHeartbeat(worker, body);
  } else if (command != "attach" && command != "checkpoint" &&
             command != "throttle") {
    return ErrorResponse(404, "unknown command");
  }
  return JsonResponse(200, this->Describe(worker));
}

auto WorkerStandin::StartTasks(Worker& worker, const json& body) -> json {
  auto results = json::array();
  for (const auto& spec : body.value("tasks", json::array())) {
    results.push_back({{"task", spec.value("task", "")},
                       {"result", this->StartTask(worker, spec)}});
  }
  return results;
}

auto WorkerStandin::StartTask(Worker& worker, const json& spec) -> std::string {
  const auto id = spec.value("task", "");
  if (worker.tasks.contains(id)) {
    return "already";
  }
  Resources used;
  for (const auto& [other, task] : worker.tasks) {
    used += task.state == TaskState::kRunning ? task.resources : Resources();
  }
  Task task;
  task.resources = ToResources(spec.value("resources", json::object()));
  if (!(used + task.resources).FitsIn(this->capacity)) {
    this->observations.overcommits++;
  }
  const auto task_name = StripAttempt(id);
  for (const auto& [name, other] : this->workers) {
    for (const auto& [other_id, running] : other.tasks) {
      if (running.state == TaskState::kRunning &&
          StripAttempt(other_id) == task_name) {
        this->observations.double_runs++;
      }
    }
  }
  if (this->finish_counts[task_name] > 0) {
    this->observations.repeated_runs++;
  }
  this->observations.starts++;
  const auto now = SystemClock().Now();
  task.lease =
      std::chrono::milliseconds(spec.value("lease_ms", std::int64_t{10'000}));
  task.lease_expiry = now + task.lease;
  task.finish_time =
      now + std::chrono::milliseconds(spec.value("run_ms", std::int64_t{100}));
  if (worker.failing) {
    task.state = TaskState::kFailed;
  }
  worker.tasks[id] = task;
  return "started";
}

auto WorkerStandin::StopTasks(Worker& worker, const json& body) -> void {
  for (const auto& id : body.value("tasks", json::array())) {
    worker.tasks.erase(id.get<std::string>());
  }
}

auto WorkerStandin::HandleHeartbeat(Worker& worker, const json& body) -> void {
  const auto now = SystemClock().Now();
  for (const auto& id : body.value("renew", json::array())) {
    const auto found = worker.tasks.find(id.get<std::string>());
    if (found != worker.tasks.end()) {
      found->second.lease_expiry = now + found->second.lease;
    }
  }
  for (const auto& id : body.value("acknowledge", json::array())) {
    const auto found = worker.tasks.find(id.get<std::string>());
    if (found != worker.tasks.end() &&
        found->second.state != TaskState::kRunning) {
      worker.tasks.erase(found);
    }
  }
}

auto WorkerStandin::Describe(const Worker& worker) const -> json {
  auto tasks = json::array();
  for (const auto& [id, task] : worker.tasks) {
    const char* state = task.state == TaskState::kRunning    ? "running"
                        : task.state == TaskState::kFinished ? "finished"
                        : task.state == TaskState::kFailed   ? "failed"
                                                             : "expired";
    tasks.push_back({{"task", id},
                     {"state", state},
                     {"usage", ToJson(task.resources, worker.usage_factor)}});
  }
  return {
      {"now_ms", NowMilliseconds()}, {"epoch", worker.epoch}, {"tasks", tasks}};
}

auto WorkerStandin::UpdateTaskStates() -> void {
  const auto now = SystemClock().Now();
  for (auto& [name, worker] : this->workers) {
    for (auto& [id, task] : worker.tasks) {
      if (task.state != TaskState::kRunning) {
        continue;
      }
      if (task.finish_time <= now && task.finish_time <= task.lease_expiry) {
        task.state = TaskState::kFinished;
        this->finish_counts[StripAttempt(id)]++;
        this->observations.finishes++;
      } else if (task.lease_expiry <= now) {
        task.state = TaskState::kExpired;
        this->observations.expired_leases++;
      }
    }
  }
}

auto WorkerStandin::ApplyChange(const json& change, Worker& worker) -> void {
  MergeFaults(change, worker.faults);
  worker.failing = change.value("failing", worker.failing);
  worker.usage_factor = change.value("usage_factor", worker.usage_factor);
  if (change.value("crash", false)) {
    worker.tasks.clear();
  }
}

auto WorkerStandin::Control(const http::Request& request) -> http::Response {
  if (request.method == "POST") {
    const auto change = ParseBody(request);
    if (!change.is_object()) {
      return ErrorResponse(400, "the body must be a JSON object");
    }
    std::lock_guard lock(this->mutex);
    this->UpdateTaskStates();
    if (change.contains("worker")) {
      this->ApplyChange(change,
                        this->workers[change["worker"].get<std::string>()]);
    } else {
      for (auto& [name, worker] : this->workers) {
        this->ApplyChange(change, worker);
      }
    }
  }
  const auto observed = this->Observe();
  return JsonResponse(200, {{"starts", observed.starts},
                            {"finishes", observed.finishes},
                            {"overcommits", observed.overcommits},
                            {"double_runs", observed.double_runs},
                            {"repeated_runs", observed.repeated_runs},
                            {"stale_commands", observed.stale_commands},
                            {"late_commands", observed.late_commands},
                            {"expired_leases", observed.expired_leases},
                            {"running", observed.running},
                            {"tasks", this->RunningTasks()}});
}

}  // namespace shallotbank::standins
