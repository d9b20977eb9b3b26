#include "http/client.h"

#include <pthread.h>
#include <time.h>  // NOLINT(modernize-deprecated-headers): POSIX names.

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <deque>
#include <future>
#include <mutex>
#include <set>
#include <thread>
#include <unordered_map>
#include <utility>

#include <curl/curl.h>

#include "curl_call.h"
#include "socket_events.h"
#include "suspect_hosts.h"

namespace shallotbank::http {
namespace {

/// Sockets, timers and new calls end a wait; this only bounds a lost wakeup.
constexpr std::chrono::milliseconds kMaxWait(1000);

constexpr long kMaxCachedConnections = 4096;

auto InitialiseOnce() -> void {
  static std::once_flag once;
  std::call_once(once, [] { ::curl_global_init(CURL_GLOBAL_ALL); });
}

}  // namespace

class Client::Impl {
 public:
  explicit Impl(ClientOptions given)
      : options(given), suspects(options.max_connection_age) {
    InitialiseOnce();
    this->multi = ::curl_multi_init();
    ::curl_multi_setopt(this->multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
    ::curl_multi_setopt(this->multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                        this->options.max_connections_per_host);
    ::curl_multi_setopt(this->multi, CURLMOPT_MAXCONNECTS,
                        kMaxCachedConnections);
    ::curl_multi_setopt(this->multi, CURLMOPT_SOCKETFUNCTION, &Impl::OnSocket);
    ::curl_multi_setopt(this->multi, CURLMOPT_SOCKETDATA, this);
    ::curl_multi_setopt(this->multi, CURLMOPT_TIMERFUNCTION, &Impl::OnTimer);
    ::curl_multi_setopt(this->multi, CURLMOPT_TIMERDATA, this);
    this->thread = std::thread([this] { this->Run(); });
    ::pthread_getcpuclockid(this->thread.native_handle(), &this->thread_clock);
  }

  ~Impl() {
    {
      std::lock_guard lock(this->mutex);
      this->stopping = true;
    }
    this->events.Wake();
    this->thread.join();
    ::curl_multi_cleanup(this->multi);
  }

  Impl(const Impl&) = delete;
  auto operator=(const Impl&) -> Impl& = delete;

  auto Send(Call call, Done done) -> void {
    const auto deadline = SystemClock().Now() + call.timeout;
    auto added =
        std::make_unique<CurlCall>(std::move(call), std::move(done), deadline);
    const auto [refusal, is_first] = this->TryEnqueue(added);
    if (refusal != nullptr) {
      added->Fail(refusal);
      return;
    }
    if (is_first) {
      this->events.Wake();
    }
  }

  auto Stats() const -> ClientStats {
    return {this->calls, this->wakeups, Duration(this->busy_nanoseconds),
            this->ProcessorTime()};
  }

 private:
  /// Unlike the busy time, does not grow while other threads have the core.
  auto ProcessorTime() const -> Duration {
    timespec time{};
    ::clock_gettime(this->thread_clock, &time);
    return std::chrono::seconds(time.tv_sec) +
           std::chrono::nanoseconds(time.tv_nsec);
  }

  struct Enqueued {
    const char* refusal = nullptr;
    bool is_first = false;  ///< The queue was empty.
  };

  static auto OnSocket(CURL*,
                       curl_socket_t socket,
                       int interest,
                       void* self,
                       void*) -> int {
    static_cast<Impl*>(self)->events.Update(socket, interest);
    return 0;
  }

  static auto OnTimer(CURLM*, long milliseconds, void* self) -> int {
    static_cast<Impl*>(self)->timer_due =
        milliseconds < 0
            ? TimePoint::max()
            : SystemClock().Now() + std::chrono::milliseconds(milliseconds);
    return 0;
  }

  /// Enqueues `call`, or leaves it and returns the reason.
  auto TryEnqueue(std::unique_ptr<CurlCall>& call) -> Enqueued {
    std::lock_guard lock(this->mutex);
    if (this->stopping) {
      return {"the client is shut down"};
    }
    if (this->call_count >= this->options.max_queued_calls) {
      return {"the queue of calls is full"};
    }
    this->call_count++;
    this->queue.push_back(std::move(call));
    return {nullptr, this->queue.size() == 1};
  }

  auto Run() -> void {
    auto woken_at = SystemClock().Now();
    while (this->StartQueued()) {
      this->RunDueTimer();
      this->FinishCompleted();
      this->FailExpired();
      this->busy_nanoseconds += (SystemClock().Now() - woken_at).count();
      const auto ready = this->events.Wait(this->MaxWait());
      woken_at = SystemClock().Now();
      this->wakeups++;
      int running = 0;
      for (const auto& [socket, events] : ready) {
        ::curl_multi_socket_action(this->multi, socket, events, &running);
      }
    }
    this->FailAll();
  }

  /// Also begins the calls that were added since the last time.
  auto RunDueTimer() -> void {
    if (SystemClock().Now() < this->timer_due) {
      return;
    }
    this->timer_due = TimePoint::max();
    int running = 0;
    ::curl_multi_socket_action(this->multi, CURL_SOCKET_TIMEOUT, 0, &running);
  }

  /// False once the client is shut down.
  auto StartQueued() -> bool {
    std::deque<std::unique_ptr<CurlCall>> taken;
    {
      std::lock_guard lock(this->mutex);
      if (this->stopping) {
        return false;
      }
      taken.swap(this->queue);
    }
    for (auto& call : taken) {
      this->Start(std::move(call));
    }
    return true;
  }

  auto Start(std::unique_ptr<CurlCall> call) -> void {
    const auto now = SystemClock().Now();
    const auto policy =
        this->suspects.Choose(call->Url(), call->IsIdempotent(), now);
    if (!call->Prepare(policy, this->options.connect_timeout, now) ||
        ::curl_multi_add_handle(this->multi, call->Handle()) != CURLM_OK) {
      this->DecrementCallCount();
      call->Fail("libcurl refused the call");
      return;
    }
    auto* const handle = call->Handle();
    this->deadlines.emplace(call->Deadline(), handle);
    this->active.emplace(handle, std::move(call));
  }

  /// libcurl applies no timeout to a call that waits for one of the limited
  /// connections to its host.
  auto FailExpired() -> void {
    const auto now = SystemClock().Now();
    while (!this->deadlines.empty() && this->deadlines.begin()->first <= now) {
      auto* const handle = this->deadlines.begin()->second;
      this->deadlines.erase(this->deadlines.begin());
      if (this->active.at(handle)->IsStarted()) {
        continue;  // libcurl ends it, with the same deadline.
      }
      const auto call = this->Release(handle);
      call->Fail("the deadline passed before the request was sent");
    }
  }

  auto MaxWait() const -> std::chrono::milliseconds {
    auto until = this->timer_due;
    if (!this->deadlines.empty()) {
      until = std::min(until, this->deadlines.begin()->first);
    }
    const auto now = SystemClock().Now();
    if (until >= now + kMaxWait) {
      return kMaxWait;
    }
    return std::max(std::chrono::ceil<std::chrono::milliseconds>(until - now),
                    std::chrono::milliseconds(0));
  }

  /// Removes a call from libcurl and from `active` and `deadlines`.
  auto Release(CURL* handle) -> std::unique_ptr<CurlCall> {
    auto call = std::move(this->active.extract(handle).mapped());
    this->deadlines.erase({call->Deadline(), handle});
    ::curl_multi_remove_handle(this->multi, handle);
    this->DecrementCallCount();
    this->calls++;
    return call;
  }

  auto FinishCompleted() -> void {
    int left = 0;
    while (const auto* message = ::curl_multi_info_read(this->multi, &left)) {
      if (message->msg != CURLMSG_DONE) {
        continue;
      }
      const auto code = message->data.result;
      const auto call = this->Release(message->easy_handle);
      if (code == CURLE_OPERATION_TIMEDOUT && call->IsStarted()) {
        this->suspects.OnTimeout(call->Url(), SystemClock().Now());
      }
      call->Finish(code);
    }
  }

  auto DecrementCallCount() -> void {
    std::lock_guard lock(this->mutex);
    this->call_count--;
  }

  auto FailAll() -> void {
    constexpr const char* kReason = "the client was shut down";
    for (auto& [handle, call] : this->active) {
      ::curl_multi_remove_handle(this->multi, handle);
      call->Fail(kReason);
    }
    this->active.clear();
    for (auto& call : this->queue) {
      call->Fail(kReason);
    }
    this->queue.clear();
  }

  const ClientOptions options;
  SuspectHosts suspects;  ///< Used by the client's thread only, like `active`.
  SocketEvents events;
  TimePoint timer_due = TimePoint::max();  ///< Next time that libcurl needs.
  CURLM* multi = nullptr;
  std::unordered_map<CURL*, std::unique_ptr<CurlCall>> active;
  std::set<std::pair<TimePoint, CURL*>> deadlines;  ///< Not yet passed.
  std::mutex mutex;
  std::deque<std::unique_ptr<CurlCall>> queue;
  std::size_t call_count = 0;  ///< Queued and active.
  bool stopping = false;
  std::atomic<std::uint64_t> calls{0};
  std::atomic<std::uint64_t> wakeups{0};
  std::atomic<Duration::rep> busy_nanoseconds{0};
  std::thread thread;
  clockid_t thread_clock{};  ///< Measures the thread's processor time.
};

Client::Client(ClientOptions options) : impl(std::make_unique<Impl>(options)) {}

Client::~Client() = default;

auto Client::Send(Call call, Done done) -> void {
  this->impl->Send(std::move(call), std::move(done));
}

auto Client::Stats() const -> ClientStats {
  return this->impl->Stats();
}

auto Client::SendAndWait(Call call) -> Reply {
  std::promise<Reply> promise;
  auto future = promise.get_future();
  this->Send(std::move(call),
             [&promise](Reply reply) { promise.set_value(std::move(reply)); });
  return future.get();
}

}  // namespace shallotbank::http
