#include "curl_call.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <boost/algorithm/string/predicate.hpp>

namespace shallotbank::http {
namespace {

constexpr int kFirstFinalStatus = 200;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

auto IsToken(std::string_view text) -> bool {
  static constexpr std::string_view kSpecial = "!#$%&'*+-.^_`|~";
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || kSpecial.find(c) != std::string_view::npos;
  });
}

auto ToMilliseconds(Duration time) -> long {
  const auto rounded = std::chrono::ceil<std::chrono::milliseconds>(time);
  return std::max<long>(1, static_cast<long>(rounded.count()));
}

auto Trim(std::string_view text) -> std::string_view {
  constexpr std::string_view kSpace = " \t\r\n";
  const auto first = text.find_first_not_of(kSpace);
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(kSpace) - first + 1);
}

}  // namespace

CurlCall::CurlCall(Call call, Client::Done done, TimePoint deadline)
    : call(std::move(call)),
      done(std::move(done)),
      deadline(deadline),
      handle(::curl_easy_init()) {}

CurlCall::~CurlCall() {
  ::curl_easy_cleanup(this->handle);
  ::curl_slist_free_all(this->header_list);
}

auto CurlCall::IsIdempotent() const -> bool {
  return this->call.idempotent || this->call.method == "GET" ||
         this->call.method == "HEAD";
}

auto CurlCall::Prepare(const ConnectionPolicy& policy,
                       Duration connect_timeout,
                       TimePoint now) -> bool {
  if (this->handle == nullptr) {
    this->error_text = "libcurl returned no handle";
    return false;
  }
  if (!IsToken(this->call.method)) {
    this->error_text = "malformed method";
    return false;
  }
  // Without this libcurl waits up to a second for `100 Continue`.
  this->header_list = ::curl_slist_append(nullptr, "Expect:");
  for (const auto& header : this->call.headers) {
    if (!this->AddHeader(header)) {
      this->error_text = "malformed header '" + header.name + "'";
      return false;
    }
  }
  if (now >= this->deadline) {
    this->error_text = "the deadline passed before the call was started";
    return false;
  }
  const auto fresh = static_cast<long>(policy.requires_new_connection);
  const auto forbid_reuse = static_cast<long>(!policy.is_reusable);
  const auto max_age = std::max<long>(1, policy.max_age.count());
  auto* curl = this->handle;
  ::curl_easy_setopt(curl, CURLOPT_URL, this->call.url.c_str());
  ::curl_easy_setopt(curl, CURLOPT_PROTOCOLS_STR, "http");
  ::curl_easy_setopt(curl, CURLOPT_PROXY, "");
  ::curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
  ::curl_easy_setopt(curl, CURLOPT_FOLLOWLOCATION, 0L);
  ::curl_easy_setopt(curl, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  ::curl_easy_setopt(curl, CURLOPT_HTTPHEADER, this->header_list);
  ::curl_easy_setopt(curl, CURLOPT_FRESH_CONNECT, fresh);
  ::curl_easy_setopt(curl, CURLOPT_FORBID_REUSE, forbid_reuse);
  ::curl_easy_setopt(curl, CURLOPT_MAXAGE_CONN, max_age);
  ::curl_easy_setopt(curl, CURLOPT_MAXLIFETIME_CONN, max_age);
  ::curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS,
                     ToMilliseconds(connect_timeout));
  ::curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS,
                     ToMilliseconds(this->deadline - now));
  ::curl_easy_setopt(curl, CURLOPT_PREREQFUNCTION, &CurlCall::OnStart);
  ::curl_easy_setopt(curl, CURLOPT_PREREQDATA, this);
  ::curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, &CurlCall::OnHeader);
  ::curl_easy_setopt(curl, CURLOPT_HEADERDATA, this);
  ::curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, &CurlCall::OnBody);
  ::curl_easy_setopt(curl, CURLOPT_WRITEDATA, this);
  ::curl_easy_setopt(curl, CURLOPT_PRIVATE, this);
  this->SetMethodAndBody();
  return true;
}

auto CurlCall::AddHeader(const Header& header) -> bool {
  constexpr std::string_view kForbidden("\r\n\0", 3);
  if (!IsToken(header.name) ||
      header.value.find_first_of(kForbidden) != std::string::npos) {
    return false;
  }
  // libcurl sends a header without a value only if it ends with a semicolon.
  const auto line = Trim(header.value).empty()
                        ? header.name + ";"
                        : header.name + ": " + header.value;
  auto* longer = ::curl_slist_append(this->header_list, line.c_str());
  if (longer == nullptr) {
    return false;
  }
  this->header_list = longer;
  return true;
}

auto CurlCall::SetMethodAndBody() -> void {
  auto* curl = this->handle;
  if (this->call.method == "HEAD") {
    ::curl_easy_setopt(curl, CURLOPT_NOBODY, 1L);
    return;
  }
  if (!this->call.body.empty() || this->call.method == "POST") {
    ::curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE_LARGE,
                       static_cast<curl_off_t>(this->call.body.size()));
    ::curl_easy_setopt(curl, CURLOPT_POSTFIELDS, this->call.body.data());
  }
  ::curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, this->call.method.c_str());
}

auto CurlCall::OnStart(void* self, char*, char*, int, int) -> int {
  auto* call = static_cast<CurlCall*>(self);
  // libcurl sends a request again when a persistent connection closes before
  // the first byte of the response, though the request may have run by then.
  if (call->send_count > 0 && !call->IsIdempotent()) {
    return CURL_PREREQFUNC_ABORT;
  }
  call->send_count++;
  call->reply = {};
  call->received_bytes = 0;
  return CURL_PREREQFUNC_OK;
}

auto CurlCall::OnHeader(char* data, std::size_t, std::size_t size, void* self)
    -> std::size_t {
  auto* call = static_cast<CurlCall*>(self);
  if (!call->Reserve(size)) {
    return 0;
  }
  call->ReadHeaderLine(std::string_view(data, size));
  return size;
}

auto CurlCall::OnBody(char* data, std::size_t, std::size_t size, void* self)
    -> std::size_t {
  auto* call = static_cast<CurlCall*>(self);
  if (!call->Reserve(size)) {
    return 0;
  }
  call->reply.body.append(data, size);
  return size;
}

auto CurlCall::Reserve(std::size_t bytes) -> bool {
  this->received_bytes += bytes;
  this->exceeds_size_limit =
      this->received_bytes > this->call.max_response_bytes;
  return !this->exceeds_size_limit;
}

auto CurlCall::ReadHeaderLine(std::string_view line) -> void {
  if (line.starts_with("HTTP/")) {
    this->reply.headers.clear();  // An interim response (1xx) came first.
    return;
  }
  const auto colon = line.find(':');
  if (colon != std::string_view::npos) {
    this->reply.headers.push_back({std::string(Trim(line.substr(0, colon))),
                                   std::string(Trim(line.substr(colon + 1)))});
  }
}

auto CurlCall::FramingError() const -> std::string {
  const int status = this->reply.status;
  if (status < kFirstFinalStatus) {
    return "no final status";
  }
  if (this->call.method == "HEAD" || status == kNoContent ||
      status == kNotModified) {
    return "";
  }
  const auto& headers = this->reply.headers;
  if (FindHeader(headers, "Transfer-Encoding") != nullptr) {
    return "";  // libcurl reports a missing last chunk.
  }
  const auto* text = FindHeader(headers, "Content-Length");
  if (text == nullptr) {
    return "the answer has no length, so it may be truncated";
  }
  std::size_t length = 0;
  const auto* end = text->data() + text->size();
  const auto [rest, failure] = std::from_chars(text->data(), end, length);
  if (failure != std::errc() || rest != end) {
    return "malformed Content-Length";
  }
  return length == this->reply.body.size() ? "" : "truncated answer";
}

auto CurlCall::Finish(CURLcode code) -> void {
  if (code != CURLE_OK) {
    this->Fail(this->exceeds_size_limit ? "the answer exceeds the size limit"
                                        : ::curl_easy_strerror(code));
    return;
  }
  long status = 0;
  ::curl_easy_getinfo(this->handle, CURLINFO_RESPONSE_CODE, &status);
  this->reply.status = static_cast<int>(status);
  const auto error = this->FramingError();
  if (!error.empty()) {
    this->Fail(error);
    return;
  }
  this->reply.verdict = Verdict::kRan;
  this->reply.send_count = this->send_count;
  this->done(std::move(this->reply));
}

auto CurlCall::Fail(std::string error) -> void {
  Reply failed;
  failed.verdict = this->IsStarted() ? Verdict::kMayHaveRun : Verdict::kNotRun;
  failed.error = this->error_text.empty() ? std::move(error) : this->error_text;
  failed.send_count = this->send_count;
  this->done(std::move(failed));
}

}  // namespace shallotbank::http
