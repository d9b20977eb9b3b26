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

/// Passes tasks from any thread to the thread of an event loop, which waits on
/// `ReadFd`. The senders bound the number of queued tasks: calls and replies in
/// flight are counted before they are posted.
///
/// Uses a mutex and an eventfd instead of kj::Executor, which synchronises
/// inside the library, where ThreadSanitizer cannot see it.
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

  /// Returns false if the mailbox is closed; the task is then destroyed
  /// without being run.
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

  /// Rejects further tasks and wakes the loop.
  auto Close() -> void {
    std::lock_guard lock(this->mutex);
    this->closed = true;
    this->Wake();
  }

  /// Removes and returns all queued tasks, and whether the mailbox is closed.
  auto TakeAll() -> std::pair<std::vector<Task>, bool> {
    std::lock_guard lock(this->mutex);
    return {std::exchange(this->tasks, {}), this->closed};
  }

  auto ReadFd() const -> int { return this->fd; }

 private:
  auto Wake() -> void {
    const std::uint64_t one = 1;
    // Fails only if the counter is at its maximum; the loop is then already
    // awake.
    [[maybe_unused]] const auto written = ::write(this->fd, &one, sizeof(one));
  }

  const int fd;
  std::mutex mutex;
  std::vector<Task> tasks;
  bool closed = false;
};

}  // namespace shallotbank::rpc
