#include "address.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <charconv>
#include <cstring>

namespace shallotbank::rpc {
namespace {

template <typename Address>
auto Store(const Address& address) -> SocketAddress {
  SocketAddress result;
  std::memcpy(&result.storage, &address, sizeof(address));
  result.length = sizeof(address);
  return result;
}

}  // namespace

auto ParseIp(const std::string& ip, std::uint16_t port)
    -> std::optional<SocketAddress> {
  sockaddr_in four{};
  if (::inet_pton(AF_INET, ip.c_str(), &four.sin_addr) == 1) {
    four.sin_family = AF_INET;
    four.sin_port = htons(port);
    return Store(four);
  }
  sockaddr_in6 six{};
  if (::inet_pton(AF_INET6, ip.c_str(), &six.sin6_addr) == 1) {
    six.sin6_family = AF_INET6;
    six.sin6_port = htons(port);
    return Store(six);
  }
  return std::nullopt;
}

auto ParseAddress(const std::string& address) -> std::optional<SocketAddress> {
  const auto colon = address.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  std::string ip = address.substr(0, colon);
  const bool has_brackets =
      ip.size() > 2 && ip.front() == '[' && ip.back() == ']';
  if (has_brackets) {
    ip = ip.substr(1, ip.size() - 2);
  } else if (ip.find(':') != std::string::npos) {
    return std::nullopt;
  }
  std::uint16_t port = 0;
  const char* end = address.data() + address.size();
  const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
  if (parsed.ec != std::errc() || parsed.ptr != end || port == 0) {
    return std::nullopt;
  }
  return ParseIp(ip, port);
}

}  // namespace shallotbank::rpc
