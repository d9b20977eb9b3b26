#pragma once

#include <array>
#include <bit>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace shallotbank::placement {

/// A sparse array: a bitmap of the positions in use, and the items in order of
/// position.
template <typename T>
class RankedArray {
 public:
  static constexpr unsigned kSize = 128;

  auto empty() const -> bool { return this->items.empty(); }

  auto Find(unsigned position) -> T* {
    return this->Has(position) ? &this->items[this->Rank(position)] : nullptr;
  }

  /// Returns the item at the position, creating it if necessary.
  auto At(unsigned position) -> T& {
    const auto rank = this->Rank(position);
    if (!this->Has(position)) {
      this->items.emplace(this->items.begin() +
                          static_cast<std::ptrdiff_t>(rank));
      this->bits[position / kWordBits] |= Bit(position);
    }
    return this->items[rank];
  }

  auto Remove(unsigned position) -> void {
    this->items.erase(this->items.begin() +
                      static_cast<std::ptrdiff_t>(this->Rank(position)));
    this->bits[position / kWordBits] &= ~Bit(position);
  }

  /// Calls `visit(position, item)` in order of position from `first` until it
  /// returns false. Returns false in that case.
  template <typename Visit>
  auto VisitFrom(unsigned first, const Visit& visit) const -> bool {
    auto rank = this->Rank(first);
    auto word = first / kWordBits;
    auto rest = this->bits[word] & ~(Bit(first) - 1);
    while (true) {
      while (rest != 0) {
        const auto position =
            word * kWordBits + static_cast<unsigned>(std::countr_zero(rest));
        if (!visit(position, this->items[rank++])) {
          return false;
        }
        rest &= rest - 1;
      }
      if (++word == kWords) {
        return true;
      }
      rest = this->bits[word];
    }
  }

 private:
  static constexpr unsigned kWordBits = 64;
  static constexpr unsigned kWords = kSize / kWordBits;

  static auto Bit(unsigned position) -> std::uint64_t {
    return std::uint64_t{1} << (position % kWordBits);
  }
  auto Has(unsigned position) const -> bool {
    return (this->bits[position / kWordBits] & Bit(position)) != 0;
  }
  auto Rank(unsigned position) const -> std::size_t {
    std::size_t rank = 0;
    for (unsigned word = 0; word < position / kWordBits; ++word) {
      rank += static_cast<std::size_t>(std::popcount(this->bits[word]));
    }
    const auto below = this->bits[position / kWordBits] & (Bit(position) - 1);
    return rank + static_cast<std::size_t>(std::popcount(below));
  }

  std::array<std::uint64_t, kWords> bits{};
  std::vector<T> items;
};

}  // namespace shallotbank::placement
