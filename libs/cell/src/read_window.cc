#include "cell/read_window.h"

#include <algorithm>
#include <utility>

namespace shallotbank::cell {
namespace {

constexpr std::size_t kMinBytes = 16 << 10;
/// Enough for 0.4 MB/s of records, as a large cell writes them, from a store
/// that takes 0.6 s for each answer whatever its size.
constexpr std::size_t kMaxBytes = 256 << 10;
/// The store's limit of a read, which any record fits.
constexpr std::size_t kExceededBytes = 1024 << 10;
/// Below the timeout of a read (1.5 s), so that the window shrinks before reads
/// are lost.
constexpr std::chrono::milliseconds kSlowRead(1000);
constexpr std::chrono::milliseconds kFastRead(700);

}  // namespace

auto ReadWindow::Bytes() const -> std::size_t {
  return this->is_exceeded ? kExceededBytes : this->bytes;
}

auto ReadWindow::OnAnswered(std::size_t returned, std::optional<Duration> took)
    -> void {
  if (std::exchange(this->is_exceeded, false) || !took) {
    return;
  }
  const bool is_filled = returned * 2 >= this->bytes;
  if (*took > kSlowRead) {
    this->bytes = std::max(this->bytes / 2, kMinBytes);
  } else if (*took < kFastRead && is_filled) {
    this->bytes = std::min(this->bytes * 2, kMaxBytes);
  }
}

auto ReadWindow::OnUnanswered() -> void {
  this->is_exceeded = false;
  this->bytes = std::max(this->bytes / 2, kMinBytes);
}

auto ReadWindow::OnNothingFits() -> void {
  this->is_exceeded = true;
}

}  // namespace shallotbank::cell
