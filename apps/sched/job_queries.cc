#include "job_queries.h"

#include <nlohmann/json.hpp>

#include "daemon/job_view.h"

namespace shallotbank::sched {
namespace {

using nlohmann::json;

auto ToJson(const Resources& amount) -> json {
  return {{"cores_milli", amount.cores_milli},
          {"memory_mib", amount.memory_mib},
          {"accelerators", amount.accelerators}};
}

auto ToJson(const queueing::Amount& amount) -> json {
  auto result = ToJson(amount.resources);
  result["tasks"] = amount.tasks;
  return result;
}

// Refines the state `accepted` of the log by the state of the job's tasks.
auto StateAtOwner(const scheduling::JobStatus& status,
                  const std::string& logged_state) -> std::string {
  if (logged_state != "accepted") {
    return logged_state;
  }
  if (status.running > 0) {
    return "running";
  }
  return status.waiting > 0 ? "waiting" : "finishing";
}

}  // namespace

auto StatusJson(const journal::Job& job,
                const scheduling::ShardScheduler* owner_scheduler,
                TimePoint now) -> std::string {
  auto result = daemon::DescribeJob(job);
  const auto status = owner_scheduler == nullptr
                          ? std::nullopt
                          : owner_scheduler->Describe(job.spec.id, now);
  if (!status || daemon::IsFinished(job)) {
    return result.dump();
  }
  result["state"] = StateAtOwner(*status, result["state"].get<std::string>());
  result["tasks"]["waiting"] = status->waiting;
  result["tasks"]["running"] = status->running;
  result["tasks"]["finishing"] = status->finishing;
  if (!status->why_waiting.empty()) {
    result["why_waiting"] = status->why_waiting;
  }
  auto workers = json::array();
  for (const auto& worker : status->workers) {
    workers.push_back(worker.Text());
  }
  result["workers"] = std::move(workers);
  return result.dump();
}

auto WorkersJson(const scheduling::ShardScheduler& scheduler) -> std::string {
  auto list = json::array();
  for (const auto& summary : scheduler.Workers()) {
    const auto& status = summary.status;
    list.push_back({{"worker", summary.worker.Text()},
                    {"domain", status.worker.domain.Text()},
                    {"rack", status.worker.rack.Text()},
                    {"state", placement::ToText(status.state)},
                    {"attached", summary.is_attached},
                    {"reserved", status.reserved},
                    {"tasks", status.tasks},
                    {"capacity", ToJson(status.worker.capacity)},
                    {"used", ToJson(status.used)}});
  }
  return json{{"workers", std::move(list)}}.dump();
}

auto SharesJson(const scheduling::ShardScheduler& scheduler) -> std::string {
  auto list = json::array();
  for (const auto& share : scheduler.Shares()) {
    list.push_back({{"organisation", share.organisation.Text()},
                    {"team", share.team.Text()},
                    {"running", ToJson(share.running)},
                    {"limit", ToJson(share.limit)},
                    {"waiting_jobs", share.waiting_jobs},
                    {"share", share.dominant_share},
                    {"entitlement", share.entitlement}});
  }
  return json{{"teams", std::move(list)}}.dump();
}

}  // namespace shallotbank::sched
