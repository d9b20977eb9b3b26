#pragma once

#include <string_view>

namespace shallotbank::journal {

/// Whether a record took effect. A record without effect has a reason, a stable
/// name that is also used as a metric label.
struct RecordOutcome {
  bool valid = true;
  std::string_view reason;

  auto operator==(const RecordOutcome&) const -> bool = default;
};

inline constexpr RecordOutcome kValid{};

inline constexpr auto Invalid(std::string_view reason) -> RecordOutcome {
  return {false, reason};
}

}  // namespace shallotbank::journal
