#pragma once

// A stand-in for a minion, after "Running tasks" of PROTOCOL.md.

#include <condition_variable>
#include <list>
#include <vector>

#include <nlohmann/json.hpp>

#include "http.h"
#include "record.h"
#include "wire.h"

namespace review {

using Json = nlohmann::json;

class Minion {
 public:
  struct Options {
    std::string id;
    std::string rack = "r1-1";
    int cpu = 64000;
    milliseconds work{1000};       ///< How long a task works.
    milliseconds stop_time{0};     ///< How long a stop takes.
    milliseconds hold_max{10000};  ///< Longest lease.
    bool names_tasks = true;       ///< Writes each start and end down.
  };
  /// Is told of each start and each end of a run.
  struct Listener {
    std::function<void(const Minion&, const std::string& task, int run)>
        on_start = [](const Minion&, const std::string&, int) {};
    std::function<void(const Minion&,
                       const std::string& task,
                       int run,
                       const std::string& how)>
        on_end =
            [](const Minion&, const std::string&, int, const std::string&) {};
    /// Whether the order is left unanswered, to be carried out late.
    std::function<bool(const Request&)> holds_back = [](const Request&) {
      return false;
    };
    /// The end was taken note of: its number was acknowledged.
    std::function<void(const Minion&,
                       const std::string& task,
                       int run,
                       const std::string& how)>
        on_noted =
            [](const Minion&, const std::string&, int, const std::string&) {};
  };

  Minion(Options options, Listener listener, Record& record, int port = 0)
      : options(std::move(options)),
        listener(std::move(listener)),
        record(record),
        ticker([this] { this->Tick(); }),
        server(std::make_unique<Server>(
            [this](const Request& request) {
              return this->listener.holds_back(request)
                         ? Response{0, "", Response::How::kSilent}
                         : this->Handle(request);
            },
            port)) {}
  ~Minion() { this->Crash(); }
  Minion(const Minion&) = delete;
  auto operator=(const Minion&) -> Minion& = delete;

  auto Id() const -> const std::string& { return this->options.id; }
  auto Port() const -> int { return this->port; }
  auto Entry(int seq) const -> std::string {
    return Json{{"service", "oficina"},
                {"address", "127.0.0.1:" + std::to_string(this->port)},
                {"zone", "caxias"},
                {"version", "1"},
                {"slots", 8},
                {"state", "ready"},
                {wire::kColdLeft, 0},
                {"seq", seq},
                {"born", this->born},
                {"capacity",
                 {{"cpu", this->options.cpu}, {"memMb", 262144}, {"gpu", 0}}},
                {"labels", {"a", this->options.rack}}}
        .dump();
  }
  /// Carries out an order, for example one that was held back.
  auto CarryOut(const Request& request) -> Response {
    return this->Handle(request);
  }
  /// Ends all runs and connections at once, as a crash does.
  auto Crash() -> void {
    {
      const std::lock_guard lock(this->mutex);
      if (this->is_dead) {
        return;
      }
      this->is_dead = true;
      for (const auto& run : this->running) {
        this->listener.on_end(*this, run.task, run.number, "crashed");
      }
      this->running.clear();
      this->changed.notify_all();
    }
    this->server.reset();
    this->ticker.join();
  }

 private:
  struct Run {
    std::string task;
    int number = 0;
    Clock::time_point begun;
    Clock::time_point ends;
    std::optional<Clock::time_point> stops;
  };
  struct End {
    std::uint64_t number = 0;
    std::string task;
    int run = 0;
    std::string how;
  };

  auto ClockMs() const -> std::int64_t {
    return 1000 + std::chrono::duration_cast<milliseconds>(Clock::now() -
                                                           this->started)
                      .count();
  }

  auto Tick() -> void {
    while (true) {
      std::this_thread::sleep_for(milliseconds(5));
      const std::lock_guard lock(this->mutex);
      if (this->is_dead) {
        return;
      }
      const auto now = Clock::now();
      const bool has_lapsed = this->ClockMs() > this->lease_ms;
      for (auto run = this->running.begin(); run != this->running.end();) {
        const char* how = nullptr;
        if (run->stops && now >= *run->stops) {
          how = "stopped";
        } else if (!run->stops && now >= run->ends) {
          how = "done";
        } else if (has_lapsed) {
          how = "lapsed";
        }
        if (how == nullptr) {
          ++run;
          continue;
        }
        this->ended.push_back({this->next_end++, run->task, run->number, how});
        this->Note("end " + run->task, run->number, how);
        this->listener.on_end(*this, run->task, run->number, how);
        run = this->running.erase(run);
        this->changed.notify_all();
      }
    }
  }

  auto Note(const std::string& what, int run, const std::string& how) -> void {
    if (this->options.names_tasks) {
      this->record.Write("minion " + this->options.id + ": " + what + " run " +
                         std::to_string(run) + (how.empty() ? "" : " " + how));
    }
  }

  auto Refuse(const char* reason) const -> Response {
    return {409, Json{{"clockMs", this->ClockMs()}, {"reason", reason}}.dump()};
  }

  auto Extend(const Json& body) -> void {
    if (body.contains("deadlineMs")) {
      const auto limit = this->ClockMs() + this->options.hold_max.count();
      this->lease_ms =
          std::max(this->lease_ms,
                   std::min(body["deadlineMs"].get<std::int64_t>(), limit));
    }
  }

  auto Handle(const Request& request) -> Response {
    const auto intended = request.headers.find("shallotbank-expect-instance");
    if (intended != request.headers.end() &&
        intended->second != this->options.id) {
      return {421, Json{{"clockMs", this->ClockMs()}}.dump()};
    }
    const auto body = Json::parse(request.body, nullptr, false);
    if (request.method != "POST" || !body.is_object()) {
      return {400, Json{{"clockMs", this->ClockMs()}}.dump()};
    }
    std::unique_lock lock(this->mutex);
    const auto given = body.value("fence", std::int64_t{0});
    if (given < this->fence) {
      return this->Refuse("fence");
    }
    this->fence = given;
    if (request.path == wire::kRunStart) {
      return this->Start(body);
    }
    if (request.path == wire::kRunStop) {
      return this->Stop(body);
    }
    if (request.path == wire::kHold) {
      return this->Hold(body, lock);
    }
    return {404, "{}"};
  }

  auto Start(const Json& body) -> Response {
    const std::string task = body.at("task");
    const int number = body.at("run");
    for (const auto& run : this->running) {
      if (run.task == task && run.number == number) {
        return {200, Json{{"clockMs", this->ClockMs()}}.dump()};
      }
    }
    if (number <= this->highest[task]) {
      return this->Refuse("old");
    }
    if (body.value("deadlineMs", std::int64_t{0}) <= this->ClockMs()) {
      return this->Refuse("late");
    }
    this->Extend(body);
    this->highest[task] = number;
    const auto now = Clock::now();
    this->running.push_back(
        {task, number, now, now + this->options.work, std::nullopt});
    this->Note("start " + task, number, "");
    this->listener.on_start(*this, task, number);
    return {200, Json{{"clockMs", this->ClockMs()}}.dump()};
  }

  auto Stop(const Json& body) -> Response {
    const std::string task = body.at("task");
    const int number = body.at("run");
    this->highest[task] = std::max(this->highest[task], number);
    for (auto& run : this->running) {
      if (run.task == task && run.number <= number && !run.stops) {
        run.stops = Clock::now() + this->options.stop_time;
        this->Note("stop " + task, run.number, "");
      }
    }
    return {200, Json{{"clockMs", this->ClockMs()}}.dump()};
  }

  auto Hold(const Json& body, std::unique_lock<std::mutex>& lock) -> Response {
    this->Extend(body);
    const auto seen = body.value(wire::kAckCursor, std::uint64_t{0});
    this->ended.remove_if([&](const End& end) {
      if (end.number <= seen) {
        this->listener.on_noted(*this, end.task, end.run, end.how);
      }
      return end.number <= seen;
    });
    const auto wait = milliseconds(body.value("waitMs", 0));
    this->changed.wait_for(
        lock, wait, [this] { return this->is_dead || !this->ended.empty(); });
    if (this->is_dead) {
      return {500, "", Response::How::kReset};
    }
    auto running = Json::array();
    const auto now = Clock::now();
    for (const auto& run : this->running) {
      const auto percent = 100 * (now - run.begun) / (run.ends - run.begun);
      running.push_back(
          {run.task, run.number, "", std::min<std::int64_t>(100, percent), 0});
    }
    auto ended = Json::array();
    for (const auto& end : this->ended) {
      if (ended.size() < 500) {
        ended.push_back({end.number, end.task, end.run, end.how, ""});
      }
    }
    return {200, Json{{"clockMs", this->ClockMs()},
                      {"born", this->born},
                      {"running", running},
                      {"ended", ended}}
                     .dump()};
  }

  const Options options;
  const Listener listener;
  Record& record;
  const Clock::time_point started = Clock::now();
  const std::int64_t born =
      std::chrono::duration_cast<milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count();
  std::mutex mutex;
  std::condition_variable changed;
  bool is_dead = false;
  std::int64_t fence = 0;
  std::int64_t lease_ms = 0;
  std::list<Run> running;
  std::list<End> ended;
  std::uint64_t next_end = 1;
  std::map<std::string, int> highest;
  std::thread ticker;
  std::unique_ptr<Server> server;
  const int port = server->Port();
};

}  // namespace review
