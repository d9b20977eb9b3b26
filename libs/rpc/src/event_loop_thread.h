#pragma once

#include <kj/async-io.h>

#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <utility>

#include "mailbox.h"

namespace shallotbank::rpc {

/// Sets up kj asynchronous I/O under a lock. The library initialises
/// function-local statics here, and ThreadSanitizer cannot see the guards of an
/// uninstrumented library.
inline auto SetUpAsyncIo() -> kj::AsyncIoContext {
  static std::mutex mutex;
  std::lock_guard lock(mutex);
  return kj::setupAsyncIo();
}

/// A thread that runs a kj event loop and owns one `Core`. Tasks run between
/// iterations of the loop, never inside a promise callback, so they may destroy
/// promises.
template <typename Core>
class EventLoopThread {
 public:
  using CoreFactory =
      std::function<std::unique_ptr<Core>(kj::AsyncIoContext&,
                                          std::shared_ptr<Mailbox<Core>>)>;

  /// `build` runs on the new thread. The mailbox may outlive the thread;
  /// it is closed before the thread ends.
  explicit EventLoopThread(CoreFactory build)
      : mailbox(std::make_shared<Mailbox<Core>>()),
        thread([this, build = std::move(build)] { this->Run(build); }) {}
  ~EventLoopThread() { this->Stop(); }
  EventLoopThread(const EventLoopThread&) = delete;
  auto operator=(const EventLoopThread&) -> EventLoopThread& = delete;

  auto Post(typename Mailbox<Core>::Task task) -> bool {
    return this->mailbox->Post(std::move(task));
  }

  /// Runs the tasks posted so far, destroys the core and joins the thread.
  auto Stop() -> void {
    this->mailbox->Close();
    if (this->thread.joinable()) {
      this->thread.join();
    }
  }

 private:
  auto Run(const CoreFactory& build) -> void {
    auto io = SetUpAsyncIo();
    const auto core = build(io, this->mailbox);
    auto wake_stream =
        io.lowLevelProvider->wrapInputFd(this->mailbox->ReadFd());
    bool closed = false;
    while (!closed) {
      std::uint64_t count = 0;
      wake_stream->tryRead(&count, sizeof(count), sizeof(count))
          .wait(io.waitScope);
      auto [batch, is_closed] = this->mailbox->TakeAll();
      closed = is_closed;
      for (auto& task : batch) {
        task(*core);
      }
    }
  }

  std::shared_ptr<Mailbox<Core>> mailbox;
  std::thread thread;
};

}  // namespace shallotbank::rpc
