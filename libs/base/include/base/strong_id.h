#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace shallotbank {

/// String identifier that does not convert to identifiers of other types.
template <typename Tag>
class StrongId {
 public:
  StrongId() = default;
  explicit StrongId(std::string text) : text(std::move(text)) {}

  auto Text() const -> const std::string& { return this->text; }
  auto IsEmpty() const -> bool { return this->text.empty(); }

  // clang-tidy 14 mistakes the defaulted comparison for a use of 0.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const StrongId&) const = default;

  friend auto operator<<(std::ostream& out, const StrongId& id)
      -> std::ostream& {
    return out << id.text;
  }

 private:
  std::string text;
};

}  // namespace shallotbank

template <typename Tag>
struct std::hash<shallotbank::StrongId<Tag>> {
  auto operator()(const shallotbank::StrongId<Tag>& id) const noexcept
      -> std::size_t {
    return std::hash<std::string>{}(id.Text());
  }
};
