#include "base/process.h"

#include <signal.h>  // NOLINT(modernize-deprecated-headers): POSIX names.
#include <unistd.h>

#include <cstdio>

#include "base/log.h"

namespace shallotbank {
namespace {

namespace leaf = boost::leaf;

auto StopSignals() -> sigset_t {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

auto RunWithSettings(const std::string& name,
                     const SettingsBuilder& builder,
                     const Settings& settings,
                     const std::function<int(const Settings&)>& run) -> int {
  if (settings.IsHelp()) {
    std::fputs(builder.Help().c_str(), stdout);
    return kExitOk;
  }
  if (settings.IsVersion()) {
    std::printf("%s %s\n", name.c_str(), VersionText().c_str());
    return kExitOk;
  }
  if (settings.IsPrintSettings()) {
    std::fputs(settings.Describe().c_str(), stdout);
    return kExitOk;
  }
  StartLogging(name, Severity::kInfo);
  LogEvent(Event::kProcessStarted, {{"version", VersionText()}});
  const int code = run(settings);
  LogEvent(Event::kProcessStopped, {{"code", std::to_string(code)}});
  StopLogging();
  return code;
}

}  // namespace

auto RunProcess(const std::string& name,
                const SettingsBuilder& builder,
                int argc,
                char** argv,
                const std::function<int(const Settings&)>& run) -> int {
  // Must come first: an unhandled SIGHUP terminates the process.
  BlockStopSignals();
  return leaf::try_handle_all(
      [&]() -> leaf::result<int> {
        BOOST_LEAF_AUTO(settings, builder.Parse(argc, argv, environ));
        return RunWithSettings(name, builder, settings, run);
      },
      [&name](const SettingsError& error) {
        std::fprintf(stderr, "%s: %s: %s (see --help)\n", name.c_str(),
                     error.setting.c_str(), error.message.c_str());
        return static_cast<int>(kExitUsage);
      },
      [&name] {
        std::fprintf(stderr, "%s: unexpected error\n", name.c_str());
        return static_cast<int>(kExitFailure);
      });
}

auto BlockStopSignals() -> void {
  auto signals = StopSignals();
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
}

namespace {

auto WaitFor(const sigset_t& signals, Duration timeout) -> int {
  const auto seconds =
      std::chrono::duration_cast<std::chrono::seconds>(timeout);
  const timespec wait{seconds.count(), (timeout - seconds).count()};
  return sigtimedwait(&signals, nullptr, &wait);
}

}  // namespace

auto WaitForStopSignal(Duration timeout) -> bool {
  return WaitFor(StopSignals(), timeout) > 0;
}

auto WaitForSignal(Duration timeout) -> ProcessSignal {
  auto signals = StopSignals();
  sigaddset(&signals, SIGHUP);
  const int signal_number = WaitFor(signals, timeout);
  if (signal_number <= 0) {
    return ProcessSignal::kNone;
  }
  return signal_number == SIGHUP ? ProcessSignal::kReload
                                 : ProcessSignal::kStop;
}

auto VersionText() -> std::string {
  return SHALLOTBANK_VERSION " (" SHALLOTBANK_COMMIT ")";
}

}  // namespace shallotbank
