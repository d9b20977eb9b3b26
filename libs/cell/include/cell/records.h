#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cell/job.h"

namespace shallotbank::cell {

/// The stored form of a job's specification.
auto EncodeJob(const JobSpec& job) -> std::string;
/// Empty if the bytes are not a specification.
auto DecodeJob(std::string_view bytes) -> std::optional<JobSpec>;

/// The stored form of a job's progress. The first byte is the state, so that a
/// reader that only shows states need not decode the rest.
auto EncodeProgress(const JobProgress& progress) -> std::string;
auto DecodeProgress(std::string_view bytes) -> std::optional<JobProgress>;
/// Progress that is stored, as the leader tells the other hosts.
struct ProgressNews {
  std::string job;
  std::string progress;
  Offset offset = 0;  ///< Of the stored record.
};
auto EncodeNews(const std::vector<ProgressNews>& news) -> std::string;
/// Empty if the bytes are not news.
auto DecodeNews(std::string_view bytes)
    -> std::optional<std::vector<ProgressNews>>;
auto DecodeState(std::string_view bytes) -> std::optional<JobState>;

/// Keys and values that one host hands to another to be stored.
using RecordGroup = std::vector<std::pair<std::string, std::string>>;
auto EncodeGroup(const RecordGroup& group) -> std::string;
/// Empty if the bytes are not a group.
auto DecodeGroup(std::string_view bytes) -> std::optional<RecordGroup>;

}  // namespace shallotbank::cell
