#pragma once

#include <ostream>
#include <string>
#include <string_view>

namespace shallotbank {

/// Whether the work of a request may have run.
enum class Verdict {
  kNotRun,      ///< It did not run and will not; a retry is safe.
  kMayHaveRun,  ///< Unknown; only an idempotent request may be retried.
  kRan,         ///< It ran.
};

/// "not-run", "may-have-run" or "ran".
auto ToText(Verdict verdict) -> std::string_view;

/// Why a request was refused or failed. `reason` is a stable short name that is
/// also the label of a counter.
struct Refusal {
  Verdict verdict = Verdict::kNotRun;
  std::string reason;
  std::string field;  ///< The invalid input field, or empty.
  std::string message;
};

auto operator<<(std::ostream& out, Verdict verdict) -> std::ostream&;

}  // namespace shallotbank
