#pragma once

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"

namespace shallotbank::system_test {

/// A daemon as a process of its own, ended with the test.
class ChildProcess {
 public:
  /// Output goes to `log_file`.
  ChildProcess(const std::string& program,
               const std::vector<std::string>& arguments,
               const std::string& log_file);
  ~ChildProcess();
  ChildProcess(ChildProcess&& other) noexcept;
  ChildProcess(const ChildProcess&) = delete;
  auto operator=(const ChildProcess&) -> ChildProcess& = delete;
  auto operator=(ChildProcess&&) -> ChildProcess& = delete;

  auto Signal(int number) const -> void;
  /// SIGKILL, and waits for the end.
  auto Kill() -> void;
  /// The exit code; empty after `timeout`, or if a signal ended the process.
  auto WaitForExit(Duration timeout) -> std::optional<int>;

 private:
  pid_t pid = -1;
};

}  // namespace shallotbank::system_test
