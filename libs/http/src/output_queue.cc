#include "output_queue.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

#include <sys/socket.h>
#include <sys/uio.h>

namespace shallotbank::http {
namespace {

constexpr std::size_t kMaxSegmentsPerWrite = 16;

}  // namespace

auto OutputQueue::Push(std::string bytes, bool completes_request) -> void {
  this->size += bytes.size();
  this->segments.push_back({std::move(bytes), completes_request});
}

auto OutputQueue::Write(int socket) -> Result {
  Result result;
  while (!this->segments.empty()) {
    std::array<iovec, kMaxSegmentsPerWrite> parts{};
    const auto count = std::min(kMaxSegmentsPerWrite, this->segments.size());
    for (std::size_t i = 0; i < count; ++i) {
      auto& bytes = this->segments[i].bytes;
      const auto skip = i == 0 ? this->offset : 0;
      parts[i] = {bytes.data() + skip, bytes.size() - skip};
    }
    msghdr message{};
    message.msg_iov = parts.data();
    message.msg_iovlen = count;
    const auto written =
        ::sendmsg(socket, &message, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (written < 0 && errno == EINTR) {
      continue;
    }
    if (written < 0) {
      const bool blocked = errno == EAGAIN || errno == EWOULDBLOCK;
      result.status = blocked ? Status::kBlocked : Status::kFailed;
      return result;
    }
    result.bytes += static_cast<std::size_t>(written);
    result.completed_requests +=
        this->Consume(static_cast<std::size_t>(written));
  }
  return result;
}

auto OutputQueue::Consume(std::size_t count) -> std::size_t {
  std::size_t completed = 0;
  this->size -= count;
  this->offset += count;
  while (!this->segments.empty() &&
         this->offset >= this->segments.front().bytes.size()) {
    this->offset -= this->segments.front().bytes.size();
    completed += this->segments.front().completes_request ? 1 : 0;
    this->segments.pop_front();
  }
  return completed;
}

auto OutputQueue::Clear() -> std::size_t {
  const auto completed = std::count_if(
      this->segments.begin(), this->segments.end(),
      [](const Segment& segment) { return segment.completes_request; });
  this->segments.clear();
  this->offset = 0;
  this->size = 0;
  return static_cast<std::size_t>(completed);
}

}  // namespace shallotbank::http
