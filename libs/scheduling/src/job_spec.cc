#include "scheduling/job_spec.h"

#include <charconv>
#include <string>

namespace shallotbank::scheduling {

auto MakeAttemptId(const JobId& job, int index, Epoch epoch, std::uint64_t n)
    -> TaskId {
  return TaskId(job.Text() + "/" + std::to_string(index) + "#" +
                std::to_string(epoch) + "-" + std::to_string(n));
}

auto ParseAttemptId(const TaskId& id) -> std::optional<AttemptName> {
  const auto& text = id.Text();
  const auto hash = text.rfind('#');
  const auto slash = text.rfind('/', hash);
  if (hash == std::string::npos || slash == std::string::npos || slash == 0) {
    return std::nullopt;
  }
  int index = -1;
  const auto* end = text.data() + hash;
  const auto parsed = std::from_chars(text.data() + slash + 1, end, index);
  if (parsed.ec != std::errc() || parsed.ptr != end || index < 0) {
    return std::nullopt;
  }
  return AttemptName{JobId(text.substr(0, slash)), index};
}

}  // namespace shallotbank::scheduling
