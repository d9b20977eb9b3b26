#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iterator>

#include "adapter/host_settings.h"
#include "base/process.h"
#include "cell_daemon.h"
#include "http/server.h"

namespace {

namespace leaf = boost::leaf;
using namespace shallotbank;

auto ReadFile(const std::string& path) -> leaf::result<std::string> {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return leaf::new_error(
        SettingsError{"--config", "cannot read '" + path + "'"});
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

auto RunDaemon(const Settings& settings) -> int {
  return leaf::try_handle_all(
      [&settings]() -> leaf::result<int> {
        BOOST_LEAF_AUTO(text, ReadFile(settings.Text("config")));
        BOOST_LEAF_AUTO(host, adapter::ParseHostSettings(text));
        cell::CellDaemon daemon(std::move(host));
        return daemon.Run();
      },
      [](const SettingsError& error) {
        std::fprintf(stderr, "shallotbank-cell: %s: %s\n",
                     error.setting.c_str(), error.message.c_str());
        return static_cast<int>(kExitUsage);
      },
      [](const http::ListenError& error) {
        std::fprintf(stderr, "shallotbank-cell: cannot listen on %s: %s\n",
                     error.address.c_str(), error.message.c_str());
        return static_cast<int>(kExitFailure);
      },
      [] {
        std::fprintf(stderr, "shallotbank-cell: unexpected error\n");
        return static_cast<int>(kExitFailure);
      });
}

}  // namespace

auto main(int argc, char** argv) -> int {
  SettingsBuilder builder(
      "shallotbank-cell",
      "Takes callers' jobs and schedules them on the platform's workers.");
  builder.RequiredText("config", "path of the platform's settings file (JSON)");
  const int code =
      RunProcess("shallotbank-cell", builder, argc, argv, RunDaemon);
  // Skips static destructors; everything that needs an orderly shutdown has
  // been shut down. The static destructor of log4cplus waits for its thread
  // pool, which delayed the exit until the process was killed.
  std::fflush(nullptr);
  std::_Exit(code);
}
