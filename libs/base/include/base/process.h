#pragma once

#include <functional>
#include <string>

#include "base/settings.h"

namespace shallotbank {

/// Process exit codes.
enum ExitCode : int {
  kExitOk = 0,
  kExitFailure = 1,
  kExitUsage = 2,
};

/// Reads the settings of a daemon, starts logging and runs `run` with them.
/// Handles --help, --version and --print-settings, and reports bad settings on
/// stderr with exit code 2.
auto RunProcess(const std::string& name,
                const SettingsBuilder& builder,
                int argc,
                char** argv,
                const std::function<int(const Settings&)>& run) -> int;

enum class ProcessSignal { kNone, kStop, kReload };

/// Blocks SIGTERM, SIGINT and SIGHUP for the calling thread and all threads
/// that it starts later, and ignores SIGPIPE. Call before any thread is
/// started.
auto BlockStopSignals() -> void;

/// Waits for SIGTERM or SIGINT for at most `timeout`; true if one arrived.
auto WaitForStopSignal(Duration timeout) -> bool;
/// Like WaitForStopSignal, but also returns for SIGHUP (kReload).
auto WaitForSignal(Duration timeout) -> ProcessSignal;

/// Version and commit of this build.
auto VersionText() -> std::string;

}  // namespace shallotbank
