#include "base/verdict.h"

namespace shallotbank {

auto ToText(Verdict verdict) -> std::string_view {
  switch (verdict) {
    case Verdict::kNotRun:
      return "not-run";
    case Verdict::kMayHaveRun:
      return "may-have-run";
    case Verdict::kRan:
      return "ran";
  }
  return "may-have-run";
}

auto operator<<(std::ostream& out, Verdict verdict) -> std::ostream& {
  return out << ToText(verdict);
}

}  // namespace shallotbank
