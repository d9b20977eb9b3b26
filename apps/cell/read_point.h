#pragma once

#include <string_view>

#include "base/clock.h"
#include "base/ids.h"

namespace shallotbank::cell {

/// What brought the newest records of a topic.
enum class ReadSource { kNone, kSnapshot, kRecords, kDigest };

constexpr auto ToText(ReadSource source) -> std::string_view {
  switch (source) {
    case ReadSource::kNone:
      return "none";
    case ReadSource::kSnapshot:
      return "snapshot";
    case ReadSource::kRecords:
      return "records";
    case ReadSource::kDigest:
      return "digest";
  }
  return "none";
}

/// How far a host has read a topic to its end.
struct ReadPoint {
  Offset end = 0;  ///< All records before it have been handled.
  /// All records that the topic had then have been handled.
  TimePoint as_of;
  ReadSource source = ReadSource::kNone;
};

}  // namespace shallotbank::cell
