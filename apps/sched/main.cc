#include "base/process.h"
#include "daemon/daemon_parts.h"
#include "sched_daemon.h"

namespace {

using namespace shallotbank;

auto RunDaemon(const Settings& settings) -> int {
  return daemon::RunWithSettings(
      settings,
      [&settings](daemon::CommonSettings common) -> boost::leaf::result<int> {
        sched::SchedDaemon sched(std::move(common),
                                 settings.Time("log-retention"));
        return sched.Run();
      });
}

}  // namespace

auto main(int argc, char** argv) -> int {
  SettingsBuilder builder(
      "shallotbank-sched",
      "Schedules tasks on the workers of the shards that this process owns.");
  daemon::AddCommonSettings(builder).Time(
      "log-retention", std::chrono::hours(24),
      "how long the platform's log retains records");
  return RunProcess("shallotbank-sched", builder, argc, argv, RunDaemon);
}
