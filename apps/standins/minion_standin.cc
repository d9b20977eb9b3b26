#include "standins/minion_standin.h"

#include "run_standin.h"

auto main(int argc, char** argv) -> int {
  using namespace shallotbank;
  SettingsBuilder builder("minion_standin",
                          "Stand-in for any number of minions.");
  builder.Integer("port", 0, 0, standins::kMaxPort, "TCP port on 127.0.0.1")
      .Integer("slots", 8, 1, 10'000,
               "requests that each minion runs at a time before overload");
  return RunProcess("minion_standin", builder, argc, argv,
                    [](const Settings& settings) {
                      standins::MinionStandin minions(
                          static_cast<std::uint16_t>(settings.Integer("port")),
                          static_cast<int>(settings.Integer("slots")));
                      return standins::ServeUntilStopped(minions);
                    });
}
