#include <fstream>

#include "run_standin.h"
#include "standins/host_list_standin.h"

auto main(int argc, char** argv) -> int {
  using namespace shallotbank;
  SettingsBuilder builder("hosts_standin",
                          "Stand-in for the platform's host list.");
  builder.Integer("port", 0, 0, standins::kMaxPort, "TCP port on 127.0.0.1")
      .Text("hosts-file", "",
            "JSON file whose member `hosts` is the list to serve first");
  return RunProcess(
      "hosts_standin", builder, argc, argv, [](const Settings& settings) {
        standins::HostListStandin hosts(
            static_cast<std::uint16_t>(settings.Integer("port")));
        if (!settings.Text("hosts-file").empty()) {
          std::ifstream file(settings.Text("hosts-file"));
          const auto content = nlohmann::json::parse(file, nullptr, false);
          if (!content.is_object()) {
            std::fprintf(stderr, "--hosts-file: not a JSON object\n");
            return static_cast<int>(kExitUsage);
          }
          hosts.SetHosts(content.value("hosts", nlohmann::json::array()));
        }
        return standins::ServeUntilStopped(hosts);
      });
}
