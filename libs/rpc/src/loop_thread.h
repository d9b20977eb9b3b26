#pragma once

#include <kj/async-io.h>

#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <utility>

#include "mailbox.h"

namespace shallotbank::rpc {

/// One thread at a time. The library initialises function-local statics here,
/// and ThreadSanitizer cannot see the guards of an uninstrumented library.
inline auto SetUpAsyncIo() -> kj::AsyncIoContext {
  static std::mutex mutex;
  std::lock_guard lock(mutex);
  return kj::setupAsyncIo();
}

/// A thread with a kj event loop and one `Core` that lives on it. Tasks run
/// between turns of the loop, never inside a promise callback, so they may
/// destroy promises.
template <typename Core>
class LoopThread {
 public:
  using Build =
      std::function<std::unique_ptr<Core>(kj::AsyncIoContext&,
                                          std::shared_ptr<Mailbox<Core>>)>;

  /// `build` runs on the new thread. The mailbox may be kept after the thread
  /// has ended; it is closed by then.
  explicit LoopThread(Build build)
      : tasks(std::make_shared<Mailbox<Core>>()),
        thread([this, build = std::move(build)] { this->Run(build); }) {}
  ~LoopThread() { this->Stop(); }
  LoopThread(const LoopThread&) = delete;
  auto operator=(const LoopThread&) -> LoopThread& = delete;

  auto Post(typename Mailbox<Core>::Task task) -> bool {
    return this->tasks->Post(std::move(task));
  }

  /// Runs the tasks posted so far, destroys the core and ends the thread.
  auto Stop() -> void {
    this->tasks->Close();
    if (this->thread.joinable()) {
      this->thread.join();
    }
  }

 private:
  auto Run(const Build& build) -> void {
    auto io = SetUpAsyncIo();
    const auto core = build(io, this->tasks);
    auto wake = io.lowLevelProvider->wrapInputFd(this->tasks->ReadFd());
    bool closed = false;
    while (!closed) {
      std::uint64_t count = 0;
      wake->tryRead(&count, sizeof(count), sizeof(count)).wait(io.waitScope);
      auto [batch, is_closed] = this->tasks->TakeAll();
      closed = is_closed;
      for (auto& task : batch) {
        task(*core);
      }
    }
  }

  std::shared_ptr<Mailbox<Core>> tasks;
  std::thread thread;
};

}  // namespace shallotbank::rpc
