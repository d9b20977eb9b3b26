#pragma once

#include <sys/eventfd.h>
#include <unistd.h>

#include <cstdint>
#include <functional>
#include <mutex>
#include <stdexcept>
#include <utility>
#include <vector>

namespace shallotbank::rpc {

/// Hands tasks from any thread to the thread of an event loop, which waits for
/// `ReadFd`. The number of waiting tasks is bounded by those who post: open
/// calls and replies are counted before they are posted.
///
/// A mutex and an eventfd take the place of kj::Executor, whose hand-over runs
/// inside the library, where ThreadSanitizer cannot see the synchronisation.
template <typename Core>
class Mailbox {
 public:
  using Task = std::function<void(Core&)>;

  Mailbox() : fd(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
    if (this->fd < 0) {
      throw std::runtime_error("eventfd failed");
    }
  }
  ~Mailbox() { ::close(this->fd); }
  Mailbox(const Mailbox&) = delete;
  auto operator=(const Mailbox&) -> Mailbox& = delete;

  /// False if closed; the task is then destroyed without running.
  auto Post(Task task) -> bool {
    std::lock_guard lock(this->mutex);
    if (this->closed) {
      return false;
    }
    this->tasks.push_back(std::move(task));
    if (this->tasks.size() == 1) {
      this->Wake();
    }
    return true;
  }

  /// Refuses further tasks and wakes the loop.
  auto Close() -> void {
    std::lock_guard lock(this->mutex);
    this->closed = true;
    this->Wake();
  }

  /// Takes all waiting tasks; the second part tells whether the mailbox is
  /// closed.
  auto TakeAll() -> std::pair<std::vector<Task>, bool> {
    std::lock_guard lock(this->mutex);
    return {std::exchange(this->tasks, {}), this->closed};
  }

  auto ReadFd() const -> int { return this->fd; }

 private:
  auto Wake() -> void {
    const std::uint64_t one = 1;
    // Can only fail when the counter is full, and the loop is then awake.
    [[maybe_unused]] const auto written = ::write(this->fd, &one, sizeof(one));
  }

  const int fd;
  std::mutex mutex;
  std::vector<Task> tasks;
  bool closed = false;
};

}  // namespace shallotbank::rpc
