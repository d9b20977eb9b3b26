#pragma once

#include <cstddef>
#include <map>
#include <memory>
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

/// Encoded segments of a job's progress by their keys in the store.
using Segments = std::map<std::string, std::string>;
/// A segment holds the tasks of one occurrence from `number * segment_size` on,
/// counted through all steps.
auto SegmentKey(const JobId& job, std::size_t occurrence, std::size_t number)
    -> std::string;
/// The job of a segment, or nothing if the key is not that of a segment.
auto JobOfSegment(const std::string& key) -> std::optional<JobId>;
auto EncodeSegment(const std::vector<TaskProgress>& tasks) -> std::string;
/// Whether the bytes are those of a segment, without decoding them.
auto IsSegment(std::string_view bytes) -> bool;
/// Adds the tasks that are stored in segments to decoded progress. Returns
/// false if a segment is missing or cannot be read.
auto RestoreSegments(const JobSpec& job,
                     const Segments& segments,
                     JobProgress& progress) -> bool;

/// A stored change of a job's state, as the leader sends it to the other hosts.
struct ProgressUpdate {
  std::string job;
  std::string progress;  ///< Only the first byte of it, the state.
  Offset offset = 0;     ///< Of the stored record.
};
auto EncodeProgressUpdates(const std::vector<ProgressUpdate>& updates)
    -> std::string;
/// Returns nothing if the bytes are not progress updates.
auto DecodeProgressUpdates(std::string_view bytes)
    -> std::optional<std::vector<ProgressUpdate>>;

/// Progress updates with their encoded form, shared by all calls that carry
/// them.
struct UpdateBatch {
  std::vector<ProgressUpdate> updates;
  std::string bytes;
};
using SharedUpdateBatch = std::shared_ptr<const UpdateBatch>;
auto MakeUpdateBatch(std::vector<ProgressUpdate> updates) -> SharedUpdateBatch;
/// Returns the newest update of each job; a single batch is returned as it is.
auto MergeUpdateBatches(const std::vector<SharedUpdateBatch>& batches)
    -> SharedUpdateBatch;

/// A batch and the endpoints to which the receiver passes it on.
struct ProgressMessage {
  SharedUpdateBatch batch;
  std::vector<std::string> endpoints;
};
/// Without endpoints, the message is the encoded batch, the only form that
/// hosts of earlier releases read.
auto EncodeProgressMessage(const ProgressMessage& message) -> std::string;
/// Returns nothing if the bytes are not a message.
auto DecodeProgressMessage(std::string_view bytes)
    -> std::optional<ProgressMessage>;
/// The state from the first byte of encoded progress.
auto DecodeState(std::string_view bytes) -> std::optional<JobState>;

/// Keys and values that one host sends to another for storing.
using RecordGroup = std::vector<std::pair<std::string, std::string>>;
auto EncodeGroup(const RecordGroup& group) -> std::string;
/// Returns nothing if the bytes are not a record group.
auto DecodeGroup(std::string_view bytes) -> std::optional<RecordGroup>;

}  // namespace shallotbank::cell
