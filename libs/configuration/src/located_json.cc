#include "located_json.h"

#include <iterator>
#include <memory>
#include <optional>

namespace shallotbank::configuration {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxDepth = 16;

/// Iterates over characters and counts the lines that the lexer has consumed.
class LineCountingIterator {
 public:
  using iterator_category = std::input_iterator_tag;
  using value_type = char;
  using difference_type = std::ptrdiff_t;
  using pointer = const char*;
  using reference = const char&;

  LineCountingIterator(const char* position, int* line)
      : position(position), line(line) {}

  auto operator*() const -> reference { return *this->position; }
  auto operator++() -> LineCountingIterator& {
    if (*this->position == '\n') {
      ++*this->line;
    }
    ++this->position;
    return *this;
  }
  auto operator++(int) -> LineCountingIterator {
    auto before = *this;
    ++*this;
    return before;
  }
  auto operator==(const LineCountingIterator& other) const -> bool {
    return this->position == other.position;
  }
  auto operator!=(const LineCountingIterator& other) const -> bool {
    return this->position != other.position;
  }

 private:
  const char* position;
  int* line;
};

/// Builds the document. nlohmann-json prescribes the names of the callbacks.
class Builder {
 public:
  Builder(LocatedJson& document, const int& line)
      : document(document), line(line) {}

  // NOLINTBEGIN(readability-identifier-naming)
  auto null() -> bool { return this->Add(nullptr); }
  auto boolean(bool value) -> bool { return this->Add(value); }
  auto number_integer(json::number_integer_t value) -> bool {
    return this->Add(value);
  }
  auto number_unsigned(json::number_unsigned_t value) -> bool {
    return this->Add(value);
  }
  auto number_float(json::number_float_t value, const std::string& /*text*/)
      -> bool {
    return this->Add(value);
  }
  auto string(std::string& value) -> bool {
    return this->Add(std::move(value));
  }
  auto binary(json::binary_t& /*value*/) -> bool { return false; }
  auto start_object(std::size_t /*size*/) -> bool {
    return this->Open(json::object());
  }
  auto start_array(std::size_t /*size*/) -> bool {
    return this->Open(json::array());
  }
  auto end_object() -> bool { return this->Close(); }
  auto end_array() -> bool { return this->Close(); }

  auto key(std::string& name) -> bool {
    auto& top = this->stack.back();
    top.key = std::move(name);
    const auto path = this->ChildPath();
    this->document.lines.try_emplace(path, this->line);
    if (top.value->contains(top.key)) {
      this->document.errors.push_back(
          {path, this->line, "duplicate_field", "the field occurs twice"});
    }
    return true;
  }

  auto parse_error(std::size_t /*position*/,
                   const std::string& /*last_token*/,
                   const json::exception& error) -> bool {
    this->document.errors.push_back(
        {this->stack.empty() ? std::string() : this->stack.back().path,
         this->line, "syntax", error.what()});
    return false;
  }
  // NOLINTEND(readability-identifier-naming)

 private:
  struct Level {
    json* value;
    std::string path;
    std::string key;
  };

  auto ChildPath() const -> std::string {
    if (this->stack.empty()) {
      return "";
    }
    const auto& top = this->stack.back();
    if (top.value->is_array()) {
      return top.path + "[" + std::to_string(top.value->size()) + "]";
    }
    return top.path.empty() ? top.key : top.path + "." + top.key;
  }

  auto Insert(json value) -> json* {
    if (this->stack.empty()) {
      this->document.value = std::move(value);
      return &this->document.value;
    }
    auto& top = this->stack.back();
    if (top.value->is_array()) {
      top.value->push_back(std::move(value));
      return &top.value->back();
    }
    auto& place = (*top.value)[top.key];
    place = std::move(value);
    return &place;
  }

  auto Add(json value) -> bool {
    if (!this->stack.empty() && this->stack.back().value->is_array()) {
      this->document.lines.try_emplace(this->ChildPath(), this->line);
    }
    this->Insert(std::move(value));
    return true;
  }

  auto Open(json container) -> bool {
    const auto path = this->ChildPath();
    if (this->stack.size() >= kMaxDepth) {
      this->document.errors.push_back(
          {path, this->line, "syntax",
           "nested more than " + std::to_string(kMaxDepth) + " levels deep"});
      return false;
    }
    this->document.lines.try_emplace(path, this->line);
    auto* place = this->Insert(std::move(container));
    this->stack.push_back({place, path, ""});
    return true;
  }

  auto Close() -> bool {
    this->stack.pop_back();
    return true;
  }

  LocatedJson& document;
  const int& line;
  std::vector<Level> stack;
};

}  // namespace

auto ParseLocated(std::string_view text, std::size_t max_bytes) -> LocatedJson {
  LocatedJson document;
  if (text.size() > max_bytes) {
    document.errors.push_back(
        {"", std::nullopt, "too_large",
         "longer than " + std::to_string(max_bytes) + " bytes"});
    return document;
  }
  int line = 1;
  Builder builder(document, line);
  json::sax_parse(LineCountingIterator(text.data(), &line),
                  LineCountingIterator(text.data() + text.size(), &line),
                  &builder);
  return document;
}

}  // namespace shallotbank::configuration
