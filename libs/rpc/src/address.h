#pragma once

#include <sys/socket.h>

#include <cstdint>
#include <optional>
#include <string>

namespace shallotbank::rpc {

struct SocketAddress {
  sockaddr_storage storage{};
  socklen_t length = 0;
};

/// A numeric IPv4 or IPv6 address; names are never looked up.
auto ParseIp(const std::string& ip, std::uint16_t port)
    -> std::optional<SocketAddress>;

/// "IP:port" or "[IP]:port" with a port above zero.
auto ParseAddress(const std::string& address) -> std::optional<SocketAddress>;

}  // namespace shallotbank::rpc
