#pragma once

#include <deque>
#include <mutex>
#include <string>
#include <vector>

#include "http/server.h"

namespace shallotbank::client {

/// Stands for an entry daemon: answers with the next of the given answers, and
/// with the last one from then on.
class FakeEntry {
 public:
  explicit FakeEntry(std::deque<http::Response> given)
      : answers(std::move(given)),
        server({}, [this](http::Request request, http::Responder responder) {
          responder.Send(this->Next(std::move(request)));
        }) {
    if (!this->server.Start()) {
      throw std::runtime_error("no free port");
    }
  }
  ~FakeEntry() { this->server.Stop(); }
  FakeEntry(const FakeEntry&) = delete;
  auto operator=(const FakeEntry&) -> FakeEntry& = delete;

  auto Url() const -> std::string {
    return "http://127.0.0.1:" + std::to_string(this->server.Port());
  }
  auto Seen() -> std::vector<http::Request> {
    std::lock_guard lock(this->mutex);
    return this->seen;
  }

 private:
  auto Next(http::Request request) -> http::Response {
    std::lock_guard lock(this->mutex);
    this->seen.push_back(std::move(request));
    auto answer = this->answers.front();
    if (this->answers.size() > 1) {
      this->answers.pop_front();
    }
    return answer;
  }

  std::mutex mutex;
  std::deque<http::Response> answers;
  std::vector<http::Request> seen;
  http::Server server;
};

inline auto Refusal(int status,
                    const std::string& reason,
                    const std::string& execution) -> http::Response {
  return {status,
          {},
          R"({"error":{"reason":")" + reason +
              R"(","field":"f","message":"text of the host","execution":")" +
              execution + R"("}})"};
}

}  // namespace shallotbank::client
