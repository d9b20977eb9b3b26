#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace shallotbank::http {

struct Header {
  std::string name;
  std::string value;
};

/// The value of the first header called `name` in any case, or null.
auto FindHeader(const std::vector<Header>& headers, std::string_view name)
    -> const std::string*;

/// A completely received request.
struct Request {
  std::string method;  ///< Upper case.
  std::string path;    ///< Without the query, percent-encoding preserved.
  std::string query;   ///< Without the question mark.
  std::vector<Header> headers;
  std::string body;

  auto FindHeader(std::string_view name) const -> const std::string*;
  /// The value of query parameter `name`, or empty.
  auto QueryParameter(std::string_view name) const -> std::string;
};

struct Response {
  int status = 200;
  std::vector<Header> headers;  ///< Without Content-Length and Connection.
  std::string body;
};

}  // namespace shallotbank::http
