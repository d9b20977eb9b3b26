#include "response_text.h"

#include <algorithm>
#include <array>
#include <string_view>

#include <boost/algorithm/string/predicate.hpp>
#include <boost/beast/http/status.hpp>
#include <nlohmann/json.hpp>

namespace shallotbank::http {
namespace {

constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
constexpr int kFirstFinalStatus = 200;

/// Headers that describe the connection and are set by the server itself.
constexpr std::array<std::string_view, 5> kConnectionHeaders = {
    "Content-Length", "Connection", "Transfer-Encoding", "Keep-Alive",
    "Upgrade"};

auto IsConnectionHeader(std::string_view name) -> bool {
  return std::any_of(kConnectionHeaders.begin(), kConnectionHeaders.end(),
                     [name](std::string_view reserved) {
                       return boost::algorithm::iequals(reserved, name);
                     });
}

/// A line break inside a header would let its value forge further headers.
auto IsSafe(const Header& header) -> bool {
  constexpr std::string_view kForbidden("\r\n\0", 3);
  return !header.name.empty() &&
         header.name.find_first_of(kForbidden) == std::string::npos &&
         header.name.find_first_of(": \t") == std::string::npos &&
         header.value.find_first_of(kForbidden) == std::string::npos;
}

}  // namespace

auto AllowsBody(int status) -> bool {
  return status >= kFirstFinalStatus && status != kNoContent &&
         status != kNotModified;
}

auto HeaderText(const Response& response) -> std::string {
  const auto reason = boost::beast::http::obsolete_reason(
      static_cast<boost::beast::http::status>(response.status));
  std::string text = "HTTP/1.1 " + std::to_string(response.status) + " ";
  text.append(reason.data(), reason.size()).append("\r\n");
  for (const auto& header : response.headers) {
    if (IsSafe(header) && !IsConnectionHeader(header.name)) {
      text.append(header.name).append(": ").append(header.value).append("\r\n");
    }
  }
  if (AllowsBody(response.status)) {
    text.append("Content-Length: ")
        .append(std::to_string(response.body.size()))
        .append("\r\n");
  }
  return text;
}

auto RefusalResponse(const ReadError& error) -> Response {
  const nlohmann::json body = {{"error",
                                {{"reason", error.reason},
                                 {"field", error.field},
                                 {"message", error.message},
                                 {"execution", "not-run"}}}};
  return {error.status,
          {{"Content-Type", "application/json"}},
          body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)};
}

auto DroppedResponse(int status) -> Response {
  return {status,
          {{"Content-Type", "application/json"}},
          R"({"error":{"reason":"dropped","field":"",)"
          R"("message":"the request was dropped without an answer",)"
          R"("execution":"may-have-run"}})"};
}

}  // namespace shallotbank::http
