#include "cell/record_digests.h"

#include "cell/job.h"
#include "cell/records.h"

namespace shallotbank::cell {

auto DigestJobRecord(Offset offset,
                     const std::string& key,
                     const std::optional<std::string>& value)
    -> std::optional<DigestRecord> {
  if (!value) {
    return DigestRecord{offset, key, std::nullopt};
  }
  auto job = DecodeJob(*value);
  if (!job) {
    return DigestRecord{offset, key, value};  // A request to cancel.
  }
  job->payload.clear();
  job->steps.clear();
  return DigestRecord{offset, key, EncodeJob(*job)};
}

auto DigestProgressRecord(Offset offset,
                          const std::string& key,
                          const std::optional<std::string>& value)
    -> std::optional<DigestRecord> {
  if (JobOfSegment(key)) {
    return std::nullopt;
  }
  const auto state = DecodeState(value.value_or(""));
  if (!value || !state || IsFinal(*state)) {
    return DigestRecord{offset, key, value};
  }
  return DigestRecord{offset, key, value->substr(0, 1)};
}

}  // namespace shallotbank::cell
