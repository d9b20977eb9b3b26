#pragma once

#include <memory>
#include <string>

#include <curl/curl.h>

#include "base/clock.h"
#include "http/client.h"

namespace shallotbank::http {

/// How a call may use persistent connections.
struct ConnectionPolicy {
  bool requires_new_connection = false;  ///< Must not reuse a connection.
  bool is_reusable = true;
  std::chrono::seconds max_age{60};  ///< Of a reused connection; at least 1 s.
};

/// One call on a libcurl easy handle.
class CurlCall {
 public:
  CurlCall(Call call, Client::Done done, TimePoint deadline);
  ~CurlCall();
  CurlCall(const CurlCall&) = delete;
  auto operator=(const CurlCall&) -> CurlCall& = delete;

  /// Sets the options. False if the call is malformed; see Error.
  auto Prepare(const ConnectionPolicy& policy,
               Duration connect_timeout,
               TimePoint now) -> bool;
  auto Handle() const -> CURL* { return this->handle; }
  auto Url() const -> const std::string& { return this->call.url; }
  auto Deadline() const -> TimePoint { return this->deadline; }
  auto IsIdempotent() const -> bool;
  /// Whether bytes of the request may have been sent.
  auto IsStarted() const -> bool { return this->send_count > 0; }

  /// Passes the reply to `done`.
  auto Finish(CURLcode code) -> void;
  auto Fail(std::string error) -> void;

 private:
  static auto OnStart(void* self, char*, char*, int, int) -> int;
  static auto OnHeader(char* data, std::size_t, std::size_t size, void* self)
      -> std::size_t;
  static auto OnBody(char* data, std::size_t, std::size_t size, void* self)
      -> std::size_t;

  auto AddHeader(const Header& header) -> bool;
  auto SetMethodAndBody() -> void;
  auto ReadHeaderLine(std::string_view line) -> void;
  auto Reserve(std::size_t bytes) -> bool;
  auto FramingError() const -> std::string;

  Call call;
  Client::Done done;
  TimePoint deadline;
  CURL* handle;
  curl_slist* header_list = nullptr;
  std::string error_text;
  int send_count = 0;
  std::size_t received_bytes = 0;
  bool exceeds_size_limit = false;
  Reply reply;
};

}  // namespace shallotbank::http
