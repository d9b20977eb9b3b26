#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cell/job.h"

namespace shallotbank::cell {

/// Encodes a job's specification for the store.
auto EncodeJob(const JobSpec& job) -> std::string;
/// Returns nothing if the bytes are not a specification.
auto DecodeJob(std::string_view bytes) -> std::optional<JobSpec>;

/// Encodes a job's progress for the store. The first byte is the state, so that
/// readers that need only the state do not decode the rest.
auto EncodeProgress(const JobProgress& progress) -> std::string;
auto DecodeProgress(std::string_view bytes) -> std::optional<JobProgress>;
/// Stored progress of a job, as the leader sends it to the other hosts.
struct ProgressUpdate {
  std::string job;
  std::string progress;
  Offset offset = 0;  ///< Of the stored record.
};
auto EncodeProgressUpdates(const std::vector<ProgressUpdate>& updates)
    -> std::string;
/// Returns nothing if the bytes are not progress updates.
auto DecodeProgressUpdates(std::string_view bytes)
    -> std::optional<std::vector<ProgressUpdate>>;
auto DecodeState(std::string_view bytes) -> std::optional<JobState>;

/// Keys and values that one host sends to another for storing.
using RecordGroup = std::vector<std::pair<std::string, std::string>>;
auto EncodeGroup(const RecordGroup& group) -> std::string;
/// Returns nothing if the bytes are not a record group.
auto DecodeGroup(std::string_view bytes) -> std::optional<RecordGroup>;

}  // namespace shallotbank::cell
