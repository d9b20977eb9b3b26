#include "standins/worker_standin.h"

#include "run_standin.h"

auto main(int argc, char** argv) -> int {
  using namespace shallotbank;
  SettingsBuilder builder("worker_standin",
                          "Stand-in for any number of the platform's workers.");
  builder.Integer("port", 0, 0, standins::kMaxPort, "TCP port on 127.0.0.1")
      .Integer("cores-milli", 64'000, 1, 1'000'000, "capacity of each worker")
      .Integer("memory-mib", 262'144, 1, 100'000'000, "capacity of each worker")
      .Integer("accelerators", 0, 0, 1000, "capacity of each worker");
  return RunProcess(
      "worker_standin", builder, argc, argv, [](const Settings& settings) {
        standins::WorkerStandin workers(
            static_cast<std::uint16_t>(settings.Integer("port")),
            {settings.Integer("cores-milli"), settings.Integer("memory-mib"),
             settings.Integer("accelerators")});
        return standins::ServeUntilStopped(workers);
      });
}
