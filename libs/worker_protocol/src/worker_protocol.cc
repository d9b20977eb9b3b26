#include "worker_protocol/worker_protocol.h"

#include <optional>

#include <nlohmann/json.hpp>

#include "json/parse.h"

namespace shallotbank::worker_protocol {
namespace {

namespace leaf = boost::leaf;
using nlohmann::json;

auto Encode(const std::vector<TaskId>& tasks) -> json {
  auto list = json::array();
  for (const auto& task : tasks) {
    list.push_back(task.Text());
  }
  return list;
}

auto Encode(const Resources& amount) -> json {
  return {{"cores_milli", amount.cores_milli},
          {"memory_mib", amount.memory_mib},
          {"accelerators", amount.accelerators}};
}

auto Milliseconds(Duration time) -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

auto DecodeState(const std::string& text) -> std::optional<WorkerTaskState> {
  if (text == "running") {
    return WorkerTaskState::kRunning;
  }
  if (text == "finished") {
    return WorkerTaskState::kFinished;
  }
  if (text == "failed") {
    return WorkerTaskState::kFailed;
  }
  if (text == "expired") {
    return WorkerTaskState::kExpired;
  }
  return std::nullopt;
}

auto Malformed(const char* message) -> leaf::error_id {
  return leaf::new_error(WorkerProtocolError{message});
}

// Missing or negative usage values are treated as zero.
auto DecodeUsage(const json& task) -> Resources {
  const auto usage = task.find("usage");
  if (usage == task.end() || !usage->is_object()) {
    return {};
  }
  auto read = [&usage](const char* field) -> std::int64_t {
    const auto found = usage->find(field);
    return found != usage->end() && found->is_number_integer()
               ? std::max<std::int64_t>(found->get<std::int64_t>(), 0)
               : 0;
  };
  return {read("cores_milli"), read("memory_mib"), read("accelerators")};
}

}  // namespace

auto EncodeAttach(Epoch epoch) -> std::string {
  return json{{"epoch", epoch}}.dump();
}

auto EncodeStart(Epoch epoch,
                 std::chrono::milliseconds not_after,
                 const std::vector<TaskStart>& tasks) -> std::string {
  auto list = json::array();
  for (const auto& task : tasks) {
    list.push_back({{"task", task.task.Text()},
                    {"resources", Encode(task.resources)},
                    {"lease_ms", Milliseconds(task.lease)},
                    {"run_ms", Milliseconds(task.run_time)}});
  }
  return json{{"epoch", epoch},
              {"not_after_ms", not_after.count()},
              {"tasks", std::move(list)}}
      .dump();
}

auto EncodeHeartbeat(Epoch epoch,
                     std::chrono::milliseconds not_after,
                     const std::vector<TaskId>& renew,
                     const std::vector<TaskId>& acknowledge) -> std::string {
  return json{{"epoch", epoch},
              {"not_after_ms", not_after.count()},
              {"renew", Encode(renew)},
              {"acknowledge", Encode(acknowledge)}}
      .dump();
}

auto EncodeStop(Epoch epoch, const std::vector<TaskId>& tasks) -> std::string {
  return json{{"epoch", epoch}, {"tasks", Encode(tasks)}}.dump();
}

auto DecodeReport(std::string_view body) -> leaf::result<WorkerReport> {
  const auto document = shallotbank::json::Parse(body);
  if (!document.is_object() || !document.contains("now_ms") ||
      !document["now_ms"].is_number_integer() || !document.contains("tasks") ||
      !document["tasks"].is_array()) {
    return Malformed("worker report lacks a valid now_ms or tasks field");
  }
  WorkerReport report;
  report.worker_now =
      std::chrono::milliseconds(document["now_ms"].get<std::int64_t>());
  for (const auto& entry : document["tasks"]) {
    if (!entry.is_object() || !entry.contains("task") ||
        !entry["task"].is_string() || !entry.contains("state") ||
        !entry["state"].is_string()) {
      return Malformed(
          "task entry of a worker report lacks a valid task or state field");
    }
    const auto state = DecodeState(entry["state"].get<std::string>());
    if (!state) {
      return Malformed("task entry of a worker report has an unknown state");
    }
    report.tasks.push_back(
        {TaskId(entry["task"].get<std::string>()), *state, DecodeUsage(entry)});
  }
  return report;
}

auto DecodeStartResults(std::string_view body)
    -> leaf::result<std::vector<TaskStartResult>> {
  const auto document = shallotbank::json::Parse(body);
  if (!document.is_object() || !document.contains("results") ||
      !document["results"].is_array()) {
    return Malformed("answer to a start command lacks a valid results field");
  }
  std::vector<TaskStartResult> results;
  for (const auto& entry : document["results"]) {
    if (!entry.is_object() || !entry.contains("task") ||
        !entry["task"].is_string() || !entry.contains("result") ||
        !entry["result"].is_string()) {
      return Malformed("start result lacks a valid task or result field");
    }
    const auto text = entry["result"].get<std::string>();
    results.push_back({TaskId(entry["task"].get<std::string>()),
                       text == "started"   ? StartResult::kStarted
                       : text == "already" ? StartResult::kAlreadyThere
                                           : StartResult::kRefused});
  }
  return results;
}

auto DecodeHighestEpoch(std::string_view body) -> leaf::result<Epoch> {
  const auto document = shallotbank::json::Parse(body);
  if (!document.is_object() || !document.contains("epoch") ||
      !document["epoch"].is_number_unsigned()) {
    return Malformed("rejection of an old epoch lacks a valid epoch field");
  }
  return document["epoch"].get<Epoch>();
}

}  // namespace shallotbank::worker_protocol
