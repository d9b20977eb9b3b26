#include "minions.hpp"

#include <algorithm>
#include <utility>

#include "free_port.h"

namespace shallotbank::review {
namespace {

constexpr milliseconds kTimerStep(5);
constexpr milliseconds kHeartbeat(1500);
/// The longest lease that a minion grants (holdMaxMs).
constexpr std::int64_t kMaxLeaseMs = 6000;
/// A task that lasts is at work after this time.
constexpr milliseconds kStartup(200);
constexpr std::size_t kMaxListedEnds = 500;
constexpr const char* kService = "rotaplans";

auto JobOf(const std::string& task) -> std::string {
  return task.substr(0, task.find('.'));
}

auto ReadPlan(const std::string& spec) -> TaskPlan {
  const auto body = Json::parse(spec);
  return {milliseconds(body.value("ms", 300)), body.value("fails", false),
          body.value("lasts", false)};
}

auto UnixMs() -> std::int64_t {
  return std::chrono::floor<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

Record::Record(const std::string& path) : file(path) {}

auto Record::Elapsed() const -> milliseconds {
  return std::chrono::floor<milliseconds>(SystemClock().Now() - this->started);
}

auto Record::Add(const std::string& line) -> void {
  char time[32];
  std::snprintf(time, sizeof(time), "%9.3f ",
                static_cast<double>(this->Elapsed().count()) / 1000);
  const std::lock_guard lock(this->mutex);
  this->file << time << line << '\n' << std::flush;
}

Minion::Minion(MinionOptions options, CpuOf cpu_of, Record& record)
    : options(std::move(options)),
      cpu_of(std::move(cpu_of)),
      record(record),
      port(system_test::FindFreePort()) {}

Minion::~Minion() {
  this->Crash();
}

auto Minion::ClockMs() const -> std::int64_t {
  return std::chrono::floor<milliseconds>(SystemClock().Now() -
                                          this->life.started)
             .count() +
         1;
}

auto Minion::Entry() -> std::string {
  const std::lock_guard lock(this->mutex);
  if (!this->is_up) {
    return "";
  }
  return Json{{"service", kService},
              {"address", "127.0.0.1:" + std::to_string(this->port)},
              {"zone", "vecriga"},
              {"version", "v1"},
              {"slots", 8},
              {"state", "ready"},
              {"coldLeftMs", 0},
              {"capacity",
               {{"cpu", this->options.cpu},
                {"memMb", this->options.memory_mb},
                {"gpu", 0}}},
              {"labels", {this->options.kind, this->options.rack}},
              {"clockMs", this->ClockMs()},
              {"born", this->life.born},
              {"seq", ++this->life.seq}}
      .dump();
}

auto Minion::Start(milliseconds clock_error) -> void {
  {
    const std::lock_guard lock(this->mutex);
    this->life = Life();
    this->life.born = UnixMs() + clock_error.count();
    this->life.started = SystemClock().Now();
    this->is_up = true;
    this->record.Add("minion " + this->Id() + " starts, born " +
                     std::to_string(this->life.born));
  }
  http::ServerOptions server_options;
  server_options.port = static_cast<std::uint16_t>(this->port);
  server_options.threads = 1;
  this->server = std::make_unique<http::Server>(
      server_options,
      [this](const http::Request& request, http::Responder responder) {
        this->Handle(request, std::move(responder));
      });
  if (!this->server->Start()) {
    this->record.Add("minion " + this->Id() + " cannot listen");
    std::_Exit(2);
  }
}

auto Minion::Crash() -> void {
  {
    const std::lock_guard lock(this->mutex);
    if (!this->is_up) {
      return;
    }
    this->is_up = false;
    for (const auto& run : this->life.running) {
      this->ends[{JobOf(run.task), "crash"}]++;
      this->record.Add("minion " + this->Id() + " crashes with " + run.task +
                       " run " + std::to_string(run.number));
    }
    this->record.Add("minion " + this->Id() + " crashes");
    this->life.running.clear();
  }
  this->server->Stop();
  this->server.reset();
  const std::lock_guard lock(this->mutex);
  this->life = Life();
}

auto Minion::IsUp() -> bool {
  const std::lock_guard lock(this->mutex);
  return this->is_up;
}

auto Minion::Born() -> std::int64_t {
  const std::lock_guard lock(this->mutex);
  return this->life.born;
}

auto Minion::Answer(int status, Json body) -> http::Response {
  body["clockMs"] = this->ClockMs();
  return {status, {{"Content-Type", "application/json"}}, body.dump()};
}

auto Minion::Handle(const http::Request& request, http::Responder responder)
    -> void {
  const std::lock_guard lock(this->mutex);
  if (!this->is_up) {
    return;
  }
  const auto* instance = request.FindHeader("Shallotbank-Expect-Instance");
  if (instance != nullptr && *instance != this->Id()) {
    responder.Send(this->Answer(421, Json::object()));
    return;
  }
  const auto body = Json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    responder.Send(this->Answer(400, Json::object()));
    return;
  }
  const auto fence = body.value("fence", std::int64_t{0});
  if (fence < this->life.fence) {
    responder.Send(this->Answer(409, {{"reason", "fence"}}));
    return;
  }
  this->life.fence = fence;
  if (request.path == "/shallotbank/run-start") {
    auto answer = this->RunStart(body);
    this->record.Add("minion " + this->Id() + " run-start " +
                     body.value("task", "") + " run " +
                     std::to_string(body.value("run", 0)) + " -> " +
                     std::to_string(answer.status) + " " + answer.body);
    responder.Send(std::move(answer));
  } else if (request.path == "/shallotbank/run-stop") {
    auto answer = this->RunStop(body);
    this->record.Add("minion " + this->Id() + " run-stop " +
                     body.value("task", "") + " run " +
                     std::to_string(body.value("run", 0)) + " -> " +
                     std::to_string(answer.status));
    responder.Send(std::move(answer));
  } else if (request.path == "/shallotbank/hold") {
    this->Hold(body, std::move(responder));
  } else {
    responder.Send(this->Answer(404, Json::object()));
  }
}

auto Minion::RunStart(const Json& body) -> http::Response {
  const auto task = body.value("task", "");
  const auto number = body.value("run", 0);
  const auto deadline = body.value("deadlineMs", std::int64_t{0});
  const auto clock = this->ClockMs();
  const auto is_there = std::any_of(
      this->life.running.begin(), this->life.running.end(),
      [&](const Run& run) { return run.task == task && run.number == number; });
  if (is_there) {
    return this->Answer(200, Json::object());
  }
  const bool is_old = number <= this->life.highest_ended_run[task];
  if (!is_old && deadline < clock) {
    return this->Answer(409, {{"reason", "late"}});
  }
  this->life.lease_ms =
      std::max(this->life.lease_ms, std::min(deadline, clock + kMaxLeaseMs));
  if (is_old) {
    return this->Answer(409, {{"reason", "old"}});
  }
  this->begun.insert(JobOf(task));
  this->starts++;
  this->life.running.push_back(
      {task, number, ReadPlan(body.value("spec", "{}")), SystemClock().Now()});
  return this->Answer(200, Json::object());
}

auto Minion::RunStop(const Json& body) -> http::Response {
  const auto task = body.value("task", "");
  const auto number = body.value("run", 0);
  auto& highest = this->life.highest_ended_run[task];
  highest = std::max(highest, number);
  this->life.running.remove_if([&](const Run& run) {
    const bool is_meant = run.task == task && run.number <= number;
    if (is_meant) {
      this->Finish(run, "stopped");
    }
    return is_meant;
  });
  return this->Answer(200, Json::object());
}

auto Minion::Hold(const Json& body, http::Responder responder) -> void {
  const auto deadline = body.value("deadlineMs", std::int64_t{0});
  this->life.lease_ms = std::max(
      this->life.lease_ms, std::min(deadline, this->ClockMs() + kMaxLeaseMs));
  const auto cursor = body.value("ackCursor", std::uint64_t{0});
  this->life.ended.remove_if([&](const Json& end) {
    const bool is_noted = end.at(0).get<std::uint64_t>() <= cursor;
    if (is_noted) {
      this->record.Add("minion " + this->Id() +
                       " end taken note of: " + end.dump());
    }
    return is_noted;
  });
  const milliseconds wait(body.value("waitMs", 0));
  auto shared = std::make_shared<http::Responder>(std::move(responder));
  if (wait.count() == 0 || !this->life.ended.empty()) {
    shared->Send(this->Lists());
    return;
  }
  this->life.polls.push_back({SystemClock().Now() + wait, std::move(shared)});
}

auto Minion::Lists() -> http::Response {
  auto running = Json::array();
  const auto now = SystemClock().Now();
  for (const auto& run : this->life.running) {
    const auto age = std::chrono::floor<milliseconds>(now - run.begun);
    const auto percent =
        run.plan.lasts ? (age >= kStartup ? 100 : 0)
                       : std::clamp<std::int64_t>(
                             100 * age.count() / run.plan.work.count(), 0, 99);
    running.push_back(Json::array(
        {run.task, run.number, "", percent, this->cpu_of(JobOf(run.task))}));
  }
  auto ended = Json::array();
  for (const auto& end : this->life.ended) {
    if (ended.size() == kMaxListedEnds) {
      break;
    }
    ended.push_back(end);
  }
  return this->Answer(
      200, {{"born", this->life.born}, {"running", running}, {"ended", ended}});
}

auto Minion::Finish(const Run& run, const std::string& how) -> void {
  auto& highest = this->life.highest_ended_run[run.task];
  highest = std::max(highest, run.number);
  const auto number = this->life.next_end++;
  this->life.ended.push_back(
      Json::array({number, run.task, run.number, how, ""}));
  this->ends[{JobOf(run.task), how}]++;
  this->record.Add("minion " + this->Id() + " end " + run.task + " run " +
                   std::to_string(run.number) + " " + how);
}

auto Minion::Advance() -> void {
  const std::lock_guard lock(this->mutex);
  if (!this->is_up) {
    return;
  }
  const auto now = SystemClock().Now();
  const bool has_lapsed = this->ClockMs() > this->life.lease_ms;
  this->life.running.remove_if([&](const Run& run) {
    const bool is_over = !run.plan.lasts || run.plan.fails
                             ? now >= run.begun + run.plan.work
                             : false;
    if (has_lapsed || is_over) {
      this->Finish(run, has_lapsed       ? "lapsed"
                        : run.plan.fails ? "failed"
                                         : "done");
    }
    return has_lapsed || is_over;
  });
  this->life.polls.remove_if([&](Poll& poll) {
    const bool is_due = now >= poll.until || !this->life.ended.empty();
    if (is_due) {
      poll.responder->Send(this->Lists());
    }
    return is_due;
  });
}

auto Minion::CountRunning(const std::string& job) -> int {
  const std::lock_guard lock(this->mutex);
  return static_cast<int>(
      std::count_if(this->life.running.begin(), this->life.running.end(),
                    [&](const Run& run) { return JobOf(run.task) == job; }));
}

auto Minion::UsedCpu() -> int {
  const std::lock_guard lock(this->mutex);
  int used = 0;
  for (const auto& run : this->life.running) {
    used += this->cpu_of(JobOf(run.task));
  }
  return used;
}

auto Minion::HasBegun(const std::string& job) -> bool {
  const std::lock_guard lock(this->mutex);
  return this->begun.contains(job);
}

auto Minion::CountStarts() -> int {
  const std::lock_guard lock(this->mutex);
  return this->starts;
}

auto Minion::EndsOf(const std::string& job, const std::string& how) -> int {
  const std::lock_guard lock(this->mutex);
  const auto found = this->ends.find({job, how});
  return found == this->ends.end() ? 0 : found->second;
}

Minions::~Minions() {
  this->stopping = true;
  if (this->timer.joinable()) {
    this->timer.join();
  }
}

auto Minions::Add(const MinionOptions& options, const Minion::CpuOf& cpu_of)
    -> void {
  this->all.push_back(std::make_unique<Minion>(options, cpu_of, this->record));
  this->all.back()->Start();
  this->Beat(*this->all.back());
}

auto Minions::Beat(Minion& minion) -> void {
  const std::lock_guard lock(this->beats_mutex);
  const auto entry = minion.Entry();
  const auto now = SystemClock().Now();
  if (!entry.empty()) {
    this->store.Put("keyed.servers", minion.Id(), entry);
    this->last_beats[minion.Id()] = now;
    return;
  }
  const auto last = this->last_beats.find(minion.Id());
  if (last != this->last_beats.end() && now - last->second >= 3 * kHeartbeat) {
    this->store.Put("keyed.servers", minion.Id(), "");
    this->last_beats.erase(last);
  }
}

auto Minions::Run() -> void {
  this->timer = std::thread([this] {
    auto next_beat = SystemClock().Now() + kHeartbeat;
    while (!this->stopping) {
      std::this_thread::sleep_for(kTimerStep);
      for (const auto& minion : this->all) {
        minion->Advance();
      }
      if (SystemClock().Now() < next_beat) {
        continue;
      }
      next_beat += kHeartbeat;
      for (const auto& minion : this->all) {
        this->Beat(*minion);
      }
    }
  });
}

auto Minions::CountRunning(const std::string& job) -> int {
  int count = 0;
  for (const auto& minion : this->all) {
    count += minion->CountRunning(job);
  }
  return count;
}

auto Minions::UsedCpu() -> std::int64_t {
  std::int64_t used = 0;
  for (const auto& minion : this->all) {
    used += minion->UsedCpu();
  }
  return used;
}

auto Minions::TotalCpu() -> std::int64_t {
  std::int64_t total = 0;
  for (const auto& minion : this->all) {
    total += minion->IsUp() ? minion->Cpu() : 0;
  }
  return total;
}

auto Minions::CountFits(int cpu, const std::string& kind) -> int {
  int fits = 0;
  for (const auto& minion : this->all) {
    if (minion->IsUp() && (kind.empty() || kind == minion->Kind())) {
      fits += (minion->Cpu() - minion->UsedCpu()) / cpu;
    }
  }
  return fits;
}

auto Minions::EndsOf(const std::string& job, const std::string& how) -> int {
  int count = 0;
  for (const auto& minion : this->all) {
    count += minion->EndsOf(job, how);
  }
  return count;
}

auto Minions::CountStarts() -> int {
  int count = 0;
  for (const auto& minion : this->all) {
    count += minion->CountStarts();
  }
  return count;
}

auto Minions::HasBegun(const std::string& job) -> bool {
  return std::any_of(this->all.begin(), this->all.end(),
                     [&](const auto& one) { return one->HasBegun(job); });
}

}  // namespace shallotbank::review
