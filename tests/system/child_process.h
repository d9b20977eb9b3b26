#pragma once

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"

namespace shallotbank::system_test {

/// A daemon in a child process, which is killed on destruction and when the
/// test process dies.
class ChildProcess {
 public:
  /// Appends the output of the process to `log_file`.
  ChildProcess(const std::string& program,
               const std::vector<std::string>& arguments,
               const std::string& log_file);
  ~ChildProcess();
  ChildProcess(ChildProcess&& other) noexcept;
  ChildProcess(const ChildProcess&) = delete;
  auto operator=(const ChildProcess&) -> ChildProcess& = delete;
  auto operator=(ChildProcess&&) -> ChildProcess& = delete;

  auto Pid() const -> pid_t { return this->pid; }
  auto Signal(int number) const -> void;
  /// Sends SIGKILL and waits until the process has exited.
  auto Kill() -> void;
  /// Returns the exit code, or nothing after `timeout` or if a signal
  /// terminated the process.
  auto WaitForExit(Duration timeout) -> std::optional<int>;

 private:
  pid_t pid = -1;
};

}  // namespace shallotbank::system_test
