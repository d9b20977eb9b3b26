#pragma once

#include <deque>
#include <mutex>
#include <string>
#include <vector>

#include "http/server.h"

namespace shallotbank::client {

/// A fake entry daemon that sends the given responses in order and then repeats
/// the last one.
class FakeEntry {
 public:
  explicit FakeEntry(std::deque<http::Response> responses_to_send)
      : responses(std::move(responses_to_send)),
        server({}, [this](http::Request request, http::Responder responder) {
          responder.Send(this->NextResponse(std::move(request)));
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
  auto Requests() -> std::vector<http::Request> {
    std::lock_guard lock(this->mutex);
    return this->requests;
  }

 private:
  auto NextResponse(http::Request request) -> http::Response {
    std::lock_guard lock(this->mutex);
    this->requests.push_back(std::move(request));
    auto response = this->responses.front();
    if (this->responses.size() > 1) {
      this->responses.pop_front();
    }
    return response;
  }

  std::mutex mutex;
  std::deque<http::Response> responses;
  std::vector<http::Request> requests;
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
