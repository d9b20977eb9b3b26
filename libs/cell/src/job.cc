#include "cell/job.h"

#include <charconv>
#include <string_view>

namespace shallotbank::cell {
namespace {

/// Reads the number after the last dot and removes both from the text.
auto TakeLastNumber(std::string_view& text) -> std::optional<std::size_t> {
  const auto dot = text.rfind('.');
  if (dot == std::string_view::npos) {
    return std::nullopt;
  }
  const auto digits = text.substr(dot + 1);
  std::size_t number = 0;
  const auto [rest, failure] =
      std::from_chars(digits.data(), digits.data() + digits.size(), number);
  if (failure != std::errc() || rest != digits.data() + digits.size()) {
    return std::nullopt;
  }
  text = text.substr(0, dot);
  return number;
}

}  // namespace

auto TaskName(const JobId& job,
              std::size_t occurrence,
              std::size_t step,
              std::size_t index) -> TaskId {
  return TaskId(job.Text() + '.' + std::to_string(occurrence) + '.' +
                std::to_string(step) + '.' + std::to_string(index));
}

auto ParseTaskName(const TaskId& name) -> std::optional<TaskPosition> {
  std::string_view text = name.Text();
  const auto index = TakeLastNumber(text);
  const auto step = index ? TakeLastNumber(text) : std::nullopt;
  const auto occurrence = step ? TakeLastNumber(text) : std::nullopt;
  if (!occurrence) {
    return std::nullopt;
  }
  return TaskPosition{*occurrence, *step, *index};
}

}  // namespace shallotbank::cell
