#pragma once

#include <utility>
#include <variant>

#include "placement/why_not.h"

namespace shallotbank::placement {

/// The outcome of a decision: a value, or the reason for the refusal. A refusal
/// is an ordinary outcome that occurs thousands of times a second in a full
/// cell, so it is returned by value rather than raised as an error object.
template <typename T>
class [[nodiscard]] Decision {
 public:
  // NOLINTNEXTLINE(google-explicit-constructor)
  Decision(T value) : outcome(std::in_place_index<0>, std::move(value)) {}
  // NOLINTNEXTLINE(google-explicit-constructor)
  Decision(PlacementRefusal reason) : outcome(std::in_place_index<1>, reason) {}

  explicit operator bool() const { return this->outcome.index() == 0; }
  /// The value. Only valid if the task or gang was placed (operator bool).
  auto Value() const -> const T& { return std::get<0>(this->outcome); }
  /// The reason for the refusal. Only valid if there is no value.
  auto Reason() const -> PlacementRefusal { return std::get<1>(this->outcome); }

 private:
  std::variant<T, PlacementRefusal> outcome;
};

}  // namespace shallotbank::placement
