#pragma once

#include <cstddef>
#include <string_view>

#include <nlohmann/json.hpp>

namespace shallotbank::json {

/// Containers within containers that a document may have. Copying, and reading
/// MessagePack, takes stack space for each level; no document of this system or
/// of the platform has more than ten.
inline constexpr std::size_t kMaxDepth = 64;

/// Parses a document of an untrusted writer. Returns a discarded value
/// (`is_discarded()`) if it is malformed or nested more than `kMaxDepth` deep.
auto Parse(std::string_view text) -> nlohmann::json;
/// The same for MessagePack.
auto ParseMessagePack(std::string_view bytes) -> nlohmann::json;

}  // namespace shallotbank::json
