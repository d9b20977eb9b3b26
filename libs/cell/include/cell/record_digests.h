#pragma once

#include <optional>
#include <string>

#include "base/ids.h"
#include "cell/topic_digest.h"

namespace shallotbank::cell {

/// Reduces a record of the topic of jobs to what JobTable::OnJobDigest takes:
/// the job without its payload and steps.
auto DigestJobRecord(Offset offset,
                     const std::string& key,
                     const std::optional<std::string>& value)
    -> std::optional<DigestRecord>;

/// Reduces a record of the topic of progress to what
/// JobTable::OnProgressDigest takes: the state, and of an ended job the whole
/// record. Nothing for a segment.
auto DigestProgressRecord(Offset offset,
                          const std::string& key,
                          const std::optional<std::string>& value)
    -> std::optional<DigestRecord>;

}  // namespace shallotbank::cell
