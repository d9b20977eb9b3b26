#include "child_process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <thread>
#include <utility>

namespace shallotbank::system_test {

ChildProcess::ChildProcess(const std::string& program,
                           const std::vector<std::string>& arguments,
                           const std::string& log_file) {
  std::vector<char*> argv{const_cast<char*>(program.c_str())};
  for (const auto& argument : arguments) {
    argv.push_back(const_cast<char*>(argument.c_str()));
  }
  argv.push_back(nullptr);
  this->pid = fork();
  if (this->pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output =
        open(log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    execv(program.c_str(), argv.data());
    _exit(127);
  }
}

ChildProcess::ChildProcess(ChildProcess&& other) noexcept
    : pid(std::exchange(other.pid, -1)) {}

ChildProcess::~ChildProcess() {
  this->Kill();
}

auto ChildProcess::Signal(int number) const -> void {
  if (this->pid > 0) {
    kill(this->pid, number);
  }
}

auto ChildProcess::Kill() -> void {
  if (this->pid > 0) {
    kill(this->pid, SIGKILL);
    waitpid(this->pid, nullptr, 0);
    this->pid = -1;
  }
}

auto ChildProcess::WaitForExit(Duration timeout) -> std::optional<int> {
  const auto deadline = SystemClock().Now() + timeout;
  while (this->pid > 0 && SystemClock().Now() < deadline) {
    int status = 0;
    if (waitpid(this->pid, &status, WNOHANG) == this->pid) {
      this->pid = -1;
      return WIFEXITED(status) ? std::optional(WEXITSTATUS(status))
                               : std::nullopt;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return std::nullopt;
}

}  // namespace shallotbank::system_test
