#include "json/parse.h"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace shallotbank::json {
namespace {

using Json = nlohmann::json;

/// Builds a document and stops at the first container beyond `kMaxDepth`, so
/// that the recursion of the reader is bounded.
class DocumentBuilder : public nlohmann::json_sax<Json> {
 public:
  auto null() -> bool override { return this->Add(nullptr); }
  auto boolean(bool value) -> bool override { return this->Add(value); }
  auto number_integer(number_integer_t value) -> bool override {
    return this->Add(value);
  }
  auto number_unsigned(number_unsigned_t value) -> bool override {
    return this->Add(value);
  }
  auto number_float(number_float_t value, const string_t&) -> bool override {
    return this->Add(value);
  }
  auto string(string_t& value) -> bool override {
    return this->Add(std::move(value));
  }
  auto binary(binary_t& value) -> bool override {
    return this->Add(Json::binary(std::move(value)));
  }
  auto start_object(std::size_t) -> bool override {
    return this->Open(Json::object());
  }
  auto start_array(std::size_t) -> bool override {
    return this->Open(Json::array());
  }
  auto key(string_t& name) -> bool override {
    this->member = &(*this->open.back())[std::move(name)];
    return true;
  }
  auto end_object() -> bool override { return this->Close(); }
  auto end_array() -> bool override { return this->Close(); }
  auto parse_error(std::size_t,
                   const std::string&,
                   const nlohmann::detail::exception&) -> bool override {
    return false;
  }

  auto Take() -> Json { return std::move(this->root); }

 private:
  auto Place(Json value) -> Json& {
    if (this->open.empty()) {
      this->root = std::move(value);
      return this->root;
    }
    auto& container = *this->open.back();
    if (container.is_array()) {
      return container.emplace_back(std::move(value));
    }
    *this->member = std::move(value);
    return *this->member;
  }
  auto Add(Json value) -> bool {
    this->Place(std::move(value));
    return true;
  }
  auto Open(Json container) -> bool {
    if (this->open.size() >= kMaxDepth) {
      return false;
    }
    this->open.push_back(&this->Place(std::move(container)));
    return true;
  }
  auto Close() -> bool {
    this->open.pop_back();
    return true;
  }

  Json root;
  std::vector<Json*>
      open;                ///< Containers that have not ended, outermost first.
  Json* member = nullptr;  ///< The value of the latest key.
};

auto Read(std::string_view input, Json::input_format_t format) -> Json {
  DocumentBuilder builder;
  return Json::sax_parse(input, &builder, format)
             ? builder.Take()
             : Json(Json::value_t::discarded);
}

}  // namespace

auto Parse(std::string_view text) -> Json {
  return Read(text, Json::input_format_t::json);
}

auto ParseMessagePack(std::string_view bytes) -> Json {
  return Read(bytes, Json::input_format_t::msgpack);
}

}  // namespace shallotbank::json
