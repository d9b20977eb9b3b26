#pragma once

// A small HTTP/1.1 server and client for the stand-ins: one thread for each
// connection, blocking calls, bodies with Content-Length only.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

struct Request {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;  ///< Names in lower case.
  std::string body;

  auto Query(const std::string& name) const -> std::string {
    const auto found = this->query.find(name);
    return found == this->query.end() ? "" : found->second;
  }
  auto Number(const std::string& name) const -> std::uint64_t {
    const auto text = this->Query(name);
    return text.empty() ? 0 : std::stoull(text);
  }
};

struct Response {
  enum class How {
    kAnswer,
    kReset,   ///< The connection is reset instead of an answer.
    kSilent,  ///< The connection stays open and says nothing more.
  };
  int status = 200;
  std::string body;
  How how = How::kAnswer;
};

/// Reads one message; returns false if the connection ended before.
inline auto ReadMessage(int socket,
                        std::string& buffer,
                        std::string& head,
                        std::string& body) -> bool {
  std::size_t length = 0;
  bool has_head = false;
  while (true) {
    if (!has_head) {
      const auto end = buffer.find("\r\n\r\n");
      if (end != std::string::npos) {
        head = buffer.substr(0, end + 2);
        buffer.erase(0, end + 4);
        has_head = true;
        std::string lower = head;
        std::transform(lower.begin(), lower.end(), lower.begin(), ::tolower);
        const auto at = lower.find("\r\ncontent-length:");
        length = at == std::string::npos
                     ? 0
                     : std::strtoull(lower.c_str() + at + 17, nullptr, 10);
      }
    }
    if (has_head && buffer.size() >= length) {
      body = buffer.substr(0, length);
      buffer.erase(0, length);
      return true;
    }
    char chunk[65536];
    const auto size = ::recv(socket, chunk, sizeof chunk, 0);
    if (size <= 0) {
      return false;
    }
    buffer.append(chunk, static_cast<std::size_t>(size));
  }
}

inline auto SendAll(int socket, const std::string& text) -> bool {
  std::size_t sent = 0;
  while (sent < text.size()) {
    const auto size =
        ::send(socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(size);
  }
  return true;
}

inline auto LoopbackAddress(std::uint16_t port) -> sockaddr_in {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

/// A port that was free a moment ago.
inline auto FreePort() -> int {
  const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  auto address = LoopbackAddress(0);
  ::bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof address);
  socklen_t size = sizeof address;
  ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
  ::close(socket);
  return ntohs(address.sin_port);
}

class Server {
 public:
  using Handler = std::function<Response(const Request&)>;

  explicit Server(Handler handler, int port = 0)
      : shared(std::make_shared<Shared>()) {
    this->shared->handler = std::move(handler);
    this->listener = ::socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    ::setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto address = LoopbackAddress(static_cast<std::uint16_t>(port));
    if (::bind(this->listener, reinterpret_cast<sockaddr*>(&address),
               sizeof address) != 0) {
      std::abort();
    }
    socklen_t size = sizeof address;
    ::getsockname(this->listener, reinterpret_cast<sockaddr*>(&address), &size);
    this->port = ntohs(address.sin_port);
    ::listen(this->listener, 1024);
    this->acceptor =
        std::thread([listener = this->listener, shared = this->shared] {
          while (true) {
            const int socket = ::accept(listener, nullptr, nullptr);
            if (socket < 0) {
              return;
            }
            const int no_delay = 1;
            ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &no_delay,
                         sizeof no_delay);
            const std::lock_guard lock(shared->mutex);
            if (shared->is_closed) {
              ::close(socket);
              return;
            }
            shared->sockets.insert(socket);
            std::thread([shared, socket] { Serve(*shared, socket); }).detach();
          }
        });
  }
  /// Ends as a killed process does: the listener and all connections close.
  ~Server() {
    {
      const std::lock_guard lock(this->shared->mutex);
      this->shared->is_closed = true;
      ::shutdown(this->listener, SHUT_RDWR);
      for (const int socket : this->shared->sockets) {
        ::shutdown(socket, SHUT_RDWR);
      }
    }
    this->acceptor.join();
    ::close(this->listener);
  }
  Server(const Server&) = delete;
  auto operator=(const Server&) -> Server& = delete;

  auto Port() const -> int { return this->port; }
  auto Endpoint() const -> std::string {
    return "127.0.0.1:" + std::to_string(this->port);
  }

 private:
  struct Shared {
    std::mutex mutex;
    std::set<int> sockets;
    bool is_closed = false;
    Handler handler;
  };

  static auto Parse(const std::string& head, std::string body) -> Request {
    Request request;
    request.body = std::move(body);
    const auto line = head.substr(0, head.find("\r\n"));
    const auto first = line.find(' ');
    const auto target =
        line.substr(first + 1, line.find(' ', first + 1) - first - 1);
    request.method = line.substr(0, first);
    const auto question = target.find('?');
    request.path = target.substr(0, question);
    if (question != std::string::npos) {
      std::string rest = target.substr(question + 1) + '&';
      for (std::size_t at = 0; at < rest.size();) {
        const auto end = rest.find('&', at);
        const auto pair = rest.substr(at, end - at);
        const auto equals = pair.find('=');
        if (equals != std::string::npos) {
          request.query[pair.substr(0, equals)] = pair.substr(equals + 1);
        }
        at = end + 1;
      }
    }
    for (std::size_t at = line.size() + 2; at < head.size();) {
      const auto end = head.find("\r\n", at);
      const auto colon = head.find(':', at);
      if (colon < end) {
        auto name = head.substr(at, colon - at);
        std::transform(name.begin(), name.end(), name.begin(), ::tolower);
        const auto value = head.find_first_not_of(' ', colon + 1);
        request.headers[name] =
            value < end ? head.substr(value, end - value) : std::string();
      }
      at = end + 2;
    }
    return request;
  }

  static auto Serve(Shared& shared, int socket) -> void {
    std::string buffer;
    std::string head;
    std::string body;
    while (ReadMessage(socket, buffer, head, body)) {
      const auto response = shared.handler(Parse(head, std::move(body)));
      if (response.how == Response::How::kReset) {
        const linger abort{1, 0};
        ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
        break;
      }
      if (response.how == Response::How::kSilent) {
        continue;
      }
      const auto text = "HTTP/1.1 " + std::to_string(response.status) +
                        " -\r\nContent-Type: application/json\r\n"
                        "Content-Length: " +
                        std::to_string(response.body.size()) + "\r\n\r\n" +
                        response.body;
      if (!SendAll(socket, text)) {
        break;
      }
    }
    const std::lock_guard lock(shared.mutex);
    shared.sockets.erase(socket);
    ::close(socket);
  }

  std::shared_ptr<Shared> shared;
  int listener = -1;
  int port = 0;
  std::thread acceptor;
};

struct Reply {
  int status = 0;  ///< 0 without a complete answer.
  std::string body;
};

/// Calls on a connection of its own.
inline auto Call(int port,
                 const std::string& method,
                 const std::string& path,
                 const std::map<std::string, std::string>& headers,
                 const std::string& content,
                 milliseconds timeout) -> Reply {
  const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  const timeval limit{timeout.count() / 1000, timeout.count() % 1000 * 1000};
  ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  ::setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  const auto address = LoopbackAddress(static_cast<std::uint16_t>(port));
  Reply reply;
  if (::connect(socket, reinterpret_cast<const sockaddr*>(&address),
                sizeof address) == 0) {
    auto text = method + ' ' + path + " HTTP/1.1\r\n";
    for (const auto& [name, value] : headers) {
      text += name + ": " + value + "\r\n";
    }
    text += "Content-Length: " + std::to_string(content.size()) + "\r\n\r\n" +
            content;
    std::string buffer;
    std::string head;
    if (SendAll(socket, text) &&
        ReadMessage(socket, buffer, head, reply.body)) {
      reply.status = std::atoi(head.c_str() + head.find(' '));
    }
  }
  ::close(socket);
  return reply;
}

}  // namespace review
