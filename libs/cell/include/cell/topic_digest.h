#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"

namespace shallotbank::cell {

/// What a host that does not lead needs of a record.
struct DigestRecord {
  Offset offset = 0;
  std::string key;
  std::optional<std::string> value;  ///< Empty if the key was removed.

  auto operator==(const DigestRecord&) const -> bool = default;
};

/// A part of a topic's digest.
struct DigestPage {
  Offset next = 0;  ///< The page covers all records before it.
  Offset end = 0;   ///< The whole digest covers all records before it.
  /// The topic had no records beyond `end` this long before the page was made.
  std::chrono::milliseconds age{};
  std::vector<DigestRecord> records;
};

auto EncodeDigestPage(const DigestPage& page) -> std::string;
auto DecodeDigestPage(std::string_view bytes) -> std::optional<DigestPage>;

/// The recent records of a topic, reduced to what hosts that do not lead need.
/// Hosts that read it instead of the topic save the store's bandwidth.
class TopicDigest {
 public:
  /// Starts over; the digest covers records from `position` on.
  auto Restart(Offset position) -> void;
  /// Handles the next record of the topic; nothing if it is of no interest.
  auto Append(Offset offset, std::optional<DigestRecord> record) -> void;
  /// The digest covers nothing until it restarts.
  auto Clear() -> void;

  /// Returns nothing if records from `from` on are not covered any more. Beyond
  /// the end, returns an empty page.
  auto Read(Offset from) const -> std::optional<DigestPage>;

 private:
  bool is_empty = true;
  Offset first = 0;
  Offset end = 0;
  std::deque<DigestRecord> records;
};

}  // namespace shallotbank::cell
