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

/// Parses a numeric IPv4 or IPv6 address; host names are never resolved.
auto ParseIp(const std::string& ip, std::uint16_t port)
    -> std::optional<SocketAddress>;

/// Parses "IP:port" or "[IP]:port"; the port must not be zero.
auto ParseAddress(const std::string& address) -> std::optional<SocketAddress>;

}  // namespace shallotbank::rpc
