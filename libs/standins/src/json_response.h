#pragma once

#include <charconv>
#include <cstdint>
#include <string>

#include <nlohmann/json.hpp>

#include "http/message.h"

namespace shallotbank::standins {

inline auto JsonResponse(int status, const nlohmann::json& body)
    -> http::Response {
  return {status, {{"Content-Type", "application/json"}}, body.dump()};
}

inline auto ErrorResponse(int status, const std::string& message)
    -> http::Response {
  return JsonResponse(status, {{"error", message}});
}

/// Returns query parameter `name` as a number, or `default_value` if it is
/// missing or not a number.
inline auto QueryNumber(const http::Request& request,
                        const char* name,
                        std::uint64_t default_value) -> std::uint64_t {
  const auto text = request.QueryParameter(name);
  std::uint64_t value = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), value);
  return !text.empty() && parsed.ec == std::errc() ? value : default_value;
}

/// Parses the request body as JSON; returns a discarded value if it is
/// malformed.
inline auto ParseBody(const http::Request& request) -> nlohmann::json {
  return nlohmann::json::parse(request.body, nullptr,
                               /*allow_exceptions=*/false);
}

}  // namespace shallotbank::standins
