#include <cstdio>

#include "base/process.h"
#include "sched_daemon.h"

namespace {

namespace leaf = boost::leaf;
using namespace shallotbank;

auto RunDaemon(const Settings& settings) -> int {
  return leaf::try_handle_all(
      [&settings]() -> leaf::result<int> {
        BOOST_LEAF_AUTO(common, daemon::ReadCommonSettings(settings));
        sched::SchedDaemon sched(std::move(common),
                                 settings.Time("log-retention"));
        return sched.Run();
      },
      [](const SettingsError& error) {
        std::fprintf(stderr, "%s: %s\n", error.setting.c_str(),
                     error.message.c_str());
        return static_cast<int>(kExitUsage);
      },
      [] { return static_cast<int>(kExitFailure); });
}

}  // namespace

auto main(int argc, char** argv) -> int {
  SettingsBuilder builder(
      "shallotbank-sched",
      "Places tasks on the workers of the shards that this process owns.");
  daemon::AddCommonSettings(builder).Time(
      "log-retention", std::chrono::hours(24),
      "how long the platform's log keeps records");
  return RunProcess("shallotbank-sched", builder, argc, argv, RunDaemon);
}
