#include "http/message.h"

#include <boost/algorithm/string/predicate.hpp>

namespace shallotbank::http {

auto FindHeader(const std::vector<Header>& headers, std::string_view name)
    -> const std::string* {
  for (const auto& header : headers) {
    if (boost::algorithm::iequals(header.name, name)) {
      return &header.value;
    }
  }
  return nullptr;
}

auto Request::FindHeader(std::string_view name) const -> const std::string* {
  return http::FindHeader(this->headers, name);
}

auto Request::QueryParameter(std::string_view name) const -> std::string {
  std::string_view rest(this->query);
  while (!rest.empty()) {
    const auto end = rest.find('&');
    const auto pair = rest.substr(0, end);
    const auto equals = pair.find('=');
    if (pair.substr(0, equals) == name) {
      return equals == std::string_view::npos
                 ? std::string()
                 : std::string(pair.substr(equals + 1));
    }
    if (end == std::string_view::npos) {
      break;
    }
    rest.remove_prefix(end + 1);
  }
  return {};
}

}  // namespace shallotbank::http
