#include "standins/log_standin.h"

#include "run_standin.h"

auto main(int argc, char** argv) -> int {
  using namespace shallotbank;
  SettingsBuilder builder("log_standin",
                          "Stand-in for the platform's append-only log.");
  builder.Integer("port", 0, 0, standins::kMaxPort, "TCP port on 127.0.0.1");
  return RunProcess("log_standin", builder, argc, argv,
                    [](const Settings& settings) {
                      standins::LogStandin log(
                          static_cast<std::uint16_t>(settings.Integer("port")));
                      return standins::ServeUntilStopped(log);
                    });
}
