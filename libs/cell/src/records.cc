#include "cell/records.h"

#include <algorithm>
#include <map>
#include <utility>

#include <nlohmann/json.hpp>

#include "json/parse.h"

namespace shallotbank::cell {
namespace {

using Json = nlohmann::json;

constexpr char kStateBase = '0';
/// First byte of a segment. Not that of a state, so that earlier releases
/// ignore the record.
constexpr char kSegmentMark = 'S';
/// Stands for the steps of an occurrence that is stored in segments. Earlier
/// releases reject the record instead of taking the tasks for waiting ones.
constexpr const char* kInSegments = "segments";
/// Records of earlier releases do not have this field and end before it.
constexpr std::size_t kSubmittedAtIndex = 8;

auto ToText(const Json& value) -> std::string {
  std::string bytes;
  Json::to_msgpack(value, bytes);
  return bytes;
}

auto ToJson(const StepSpec& step) -> Json {
  return Json::array(
      {step.task_count, step.demand.cores_milli, step.demand.memory_mib,
       step.demand.accelerators, step.estimate.count(), step.depends_on,
       step.has_checkpoints, step.is_gang, step.is_single_rack,
       step.may_run_twice, step.is_long_running, step.is_best_effort,
       step.required_label, step.data_rack.Text(), step.max_per_worker});
}

auto StepFromJson(const Json& row) -> StepSpec {
  StepSpec step;
  std::size_t i = 0;
  step.task_count = row.at(i++);
  step.demand.cores_milli = row.at(i++);
  step.demand.memory_mib = row.at(i++);
  step.demand.accelerators = row.at(i++);
  step.estimate = Milliseconds(row.at(i++).get<std::int64_t>());
  step.depends_on = row.at(i++).get<std::vector<std::size_t>>();
  step.has_checkpoints = row.at(i++);
  step.is_gang = row.at(i++);
  step.is_single_rack = row.at(i++);
  step.may_run_twice = row.at(i++);
  step.is_long_running = row.at(i++);
  step.is_best_effort = row.at(i++);
  step.required_label = row.at(i++).get<std::string>();
  step.data_rack = RackId(row.at(i++).get<std::string>());
  step.max_per_worker = row.at(i++);
  return step;
}

// A task that has not run is encoded as a number, because most tasks of a job
// are waiting.
auto ToJson(const TaskProgress& task) -> Json {
  if (task.phase == TaskPhase::kWaiting && task.run == 0) {
    return 0;
  }
  if (task.phase == TaskPhase::kDone) {
    return 2;
  }
  const bool is_assigned = task.phase == TaskPhase::kAssigned;
  Json row = Json::array(
      {is_assigned ? 1 : 0, task.run, task.failed_runs, task.checkpoint});
  if (is_assigned) {
    row.push_back(task.worker.id.Text());
    row.push_back(task.worker.born_unix_ms);
  }
  if (is_assigned || task.crashes > 0 || task.possible_crashes > 0) {
    row.push_back(task.crashes);
    row.push_back(task.crashed_run);
    row.push_back(task.possible_crashes);
  }
  if (is_assigned) {
    row.push_back(task.assigned_at.epoch);
    row.push_back(task.assigned_at.batch);
    row.push_back(task.assigned_at.term.count());
  }
  return row;
}

auto TaskFromJson(const Json& value) -> TaskProgress {
  TaskProgress task;
  if (value.is_number()) {
    task.phase = value.get<int>() == 2 ? TaskPhase::kDone : TaskPhase::kWaiting;
    return task;
  }
  task.phase =
      value.at(0).get<int>() == 1 ? TaskPhase::kAssigned : TaskPhase::kWaiting;
  task.run = value.at(1);
  task.failed_runs = value.at(2);
  task.checkpoint = value.at(3).get<std::string>();
  std::size_t next = 4;
  if (task.phase == TaskPhase::kAssigned) {
    task.worker.id = WorkerId(value.at(next++).get<std::string>());
    task.worker.born_unix_ms = value.at(next++);
  }
  // Records of earlier releases end here or after the next two fields, those of
  // waiting tasks without crashes end here.
  if (value.size() > next) {
    task.crashes = value.at(next++).get<int>();
    task.crashed_run = value.at(next++).get<int>();
  }
  if (value.size() > next) {
    task.possible_crashes = value.at(next++).get<int>();
  }
  if (value.size() > next) {
    task.assigned_at.epoch = value.at(next++).get<Epoch>();
    task.assigned_at.batch = value.at(next++).get<std::uint64_t>();
    task.assigned_at.term = Milliseconds(value.at(next++).get<std::int64_t>());
  }
  return task;
}

auto UnixMilliseconds(std::chrono::system_clock::time_point time)
    -> std::int64_t {
  return std::chrono::floor<Milliseconds>(time.time_since_epoch()).count();
}

}  // namespace

auto EncodeJob(const JobSpec& job) -> std::string {
  auto steps = Json::array();
  for (const auto& step : job.steps) {
    steps.push_back(ToJson(step));
  }
  return ToText(Json::array(
      {job.id.Text(), job.queue.Text(), job.organisation.Text(), job.payload,
       steps, job.occurrence_count, UnixMilliseconds(job.first_due),
       job.interval.count(), UnixMilliseconds(job.submitted_at)}));
}

auto DecodeJob(std::string_view bytes) -> std::optional<JobSpec> {
  try {
    const auto row = json::ParseMessagePack(bytes);
    JobSpec job;
    job.id = JobId(row.at(0).get<std::string>());
    job.queue = QueueName(row.at(1).get<std::string>());
    job.organisation = OrganisationId(row.at(2).get<std::string>());
    job.payload = row.at(3).get<std::string>();
    for (const auto& step : row.at(4)) {
      job.steps.push_back(StepFromJson(step));
    }
    job.occurrence_count = row.at(5);
    job.first_due = std::chrono::system_clock::time_point(
        Milliseconds(row.at(6).get<std::int64_t>()));
    job.interval = Milliseconds(row.at(7).get<std::int64_t>());
    if (row.size() > kSubmittedAtIndex) {
      job.submitted_at = std::chrono::system_clock::time_point(
          Milliseconds(row.at(kSubmittedAtIndex).get<std::int64_t>()));
    }
    return job;
  } catch (const Json::exception&) {
    return std::nullopt;  // The caller logs the skipped record.
  }
}

auto EncodeProgress(const JobProgress& progress) -> std::string {
  std::string bytes(
      1, static_cast<char>(kStateBase + static_cast<int>(progress.state)));
  if (IsFinal(progress.state)) {
    return bytes + ToText(Json::array(
                       {progress.queue.Text(), progress.organisation.Text()}));
  }
  auto occurrences = Json::array();
  for (const auto& occurrence : progress.occurrences) {
    if (occurrence.segment_size > 0) {
      occurrences.push_back(Json::array(
          {occurrence.number, kInSegments, occurrence.segment_size}));
      continue;
    }
    auto steps = Json::array();
    for (const auto& step : occurrence.steps) {
      auto tasks = Json::array();
      for (const auto& task : step) {
        tasks.push_back(ToJson(task));
      }
      steps.push_back(std::move(tasks));
    }
    occurrences.push_back(Json::array({occurrence.number, std::move(steps)}));
  }
  return bytes + ToText(Json::array(
                     {progress.next_occurrence, std::move(occurrences)}));
}

auto SegmentKey(const JobId& job, std::size_t occurrence, std::size_t number)
    -> std::string {
  return job.Text() + '/' + std::to_string(occurrence) + '/' +
         std::to_string(number);
}

auto JobOfSegment(const std::string& key) -> std::optional<JobId> {
  const auto end = key.find('/');
  if (end == std::string::npos) {
    return std::nullopt;
  }
  return JobId(key.substr(0, end));
}

auto EncodeSegment(const std::vector<TaskProgress>& tasks) -> std::string {
  auto rows = Json::array();
  for (const auto& task : tasks) {
    rows.push_back(ToJson(task));
  }
  return kSegmentMark + ToText(rows);
}

auto IsSegment(std::string_view bytes) -> bool {
  return !bytes.empty() && bytes.front() == kSegmentMark;
}

auto RestoreSegments(const JobSpec& job,
                     const Segments& segments,
                     JobProgress& progress) -> bool {
  for (auto& occurrence : progress.occurrences) {
    if (occurrence.segment_size == 0) {
      continue;
    }
    std::vector<TaskProgress*> tasks;
    occurrence.steps.clear();
    for (const auto& step : job.steps) {
      occurrence.steps.emplace_back(step.task_count);
    }
    for (auto& step : occurrence.steps) {
      for (auto& task : step) {
        tasks.push_back(&task);
      }
    }
    for (std::size_t i = 0; i < tasks.size(); i += occurrence.segment_size) {
      const auto found = segments.find(
          SegmentKey(job.id, occurrence.number, i / occurrence.segment_size));
      if (found == segments.end() || !IsSegment(found->second)) {
        return false;
      }
      try {
        const auto rows =
            json::ParseMessagePack(std::string_view(found->second).substr(1));
        const auto count = std::min(occurrence.segment_size, tasks.size() - i);
        for (std::size_t row = 0; row < count; row++) {
          *tasks[i + row] = TaskFromJson(rows.at(row));
        }
      } catch (const Json::exception&) {
        return false;  // The caller logs the skipped record.
      }
    }
  }
  return true;
}

auto EncodeGroup(const RecordGroup& group) -> std::string {
  auto rows = Json::array();
  for (const auto& [key, value] : group) {
    rows.push_back(
        Json::array({key, Json::binary({value.begin(), value.end()})}));
  }
  return ToText(rows);
}

auto DecodeGroup(std::string_view bytes) -> std::optional<RecordGroup> {
  try {
    RecordGroup group;
    for (const auto& row : json::ParseMessagePack(bytes)) {
      const auto& value = row.at(1).get_binary();
      group.emplace_back(row.at(0).get<std::string>(),
                         std::string(value.begin(), value.end()));
    }
    return group;
  } catch (const Json::exception&) {
    return std::nullopt;  // The caller reports the error to the sender.
  }
}

auto EncodeProgressUpdates(const std::vector<ProgressUpdate>& updates)
    -> std::string {
  auto rows = Json::array();
  for (const auto& update : updates) {
    rows.push_back(Json::array(
        {update.job,
         Json::binary({update.progress.begin(), update.progress.end()}),
         update.offset}));
  }
  return ToText(rows);
}

auto DecodeProgressUpdates(std::string_view bytes)
    -> std::optional<std::vector<ProgressUpdate>> {
  try {
    std::vector<ProgressUpdate> updates;
    for (const auto& row : json::ParseMessagePack(bytes)) {
      const auto& progress = row.at(1).get_binary();
      updates.push_back({row.at(0).get<std::string>(),
                         std::string(progress.begin(), progress.end()),
                         row.at(2).get<Offset>()});
    }
    return updates;
  } catch (const Json::exception&) {
    return std::nullopt;  // The caller reports the error to the sender.
  }
}

auto MakeUpdateBatch(std::vector<ProgressUpdate> updates) -> SharedUpdateBatch {
  auto bytes = EncodeProgressUpdates(updates);
  return std::make_shared<const UpdateBatch>(
      UpdateBatch{std::move(updates), std::move(bytes)});
}

auto MergeUpdateBatches(const std::vector<SharedUpdateBatch>& batches)
    -> SharedUpdateBatch {
  if (batches.size() == 1) {
    return batches.front();
  }
  std::map<std::string_view, const ProgressUpdate*> newest;
  for (const auto& batch : batches) {
    for (const auto& update : batch->updates) {
      auto& known = newest[update.job];
      if (known == nullptr || known->offset <= update.offset) {
        known = &update;
      }
    }
  }
  std::vector<ProgressUpdate> updates;
  for (const auto& [job, update] : newest) {
    updates.push_back(*update);
  }
  return MakeUpdateBatch(std::move(updates));
}

auto EncodeProgressMessage(const ProgressMessage& message) -> std::string {
  const auto& bytes = message.batch->bytes;
  return message.endpoints.empty()
             ? bytes
             : ToText(
                   {{"endpoints", message.endpoints},
                    {"updates", Json::binary({bytes.begin(), bytes.end()})}});
}

auto DecodeProgressMessage(std::string_view bytes)
    -> std::optional<ProgressMessage> {
  try {
    const auto document = json::ParseMessagePack(bytes);
    ProgressMessage message;
    std::string encoded(bytes);
    if (document.is_object()) {
      const auto& updates = document.at("updates").get_binary();
      encoded.assign(updates.begin(), updates.end());
      message.endpoints =
          document.at("endpoints").get<std::vector<std::string>>();
    }
    auto updates = DecodeProgressUpdates(encoded);
    if (!updates) {
      return std::nullopt;
    }
    message.batch = std::make_shared<const UpdateBatch>(
        UpdateBatch{std::move(*updates), std::move(encoded)});
    return message;
  } catch (const Json::exception&) {
    return std::nullopt;  // The caller reports the error to the sender.
  }
}

auto DecodeState(std::string_view bytes) -> std::optional<JobState> {
  if (bytes.empty()) {
    return std::nullopt;
  }
  const int state = bytes.front() - kStateBase;
  if (state < 0 || state > static_cast<int>(JobState::kCancelled)) {
    return std::nullopt;
  }
  return static_cast<JobState>(state);
}

auto DecodeProgress(std::string_view bytes) -> std::optional<JobProgress> {
  const auto state = DecodeState(bytes);
  if (!state) {
    return std::nullopt;
  }
  JobProgress progress;
  progress.state = *state;
  if (IsFinal(*state) && bytes.size() == 1) {
    return progress;  // Of an earlier release, or an update.
  }
  try {
    const auto row = json::ParseMessagePack(bytes.substr(1));
    if (IsFinal(*state)) {
      progress.queue = QueueName(row.at(0).get<std::string>());
      progress.organisation = OrganisationId(row.at(1).get<std::string>());
      return progress;
    }
    progress.next_occurrence = row.at(0);
    for (const auto& entry : row.at(1)) {
      OccurrenceProgress occurrence;
      occurrence.number = entry.at(0);
      if (entry.at(1).is_string()) {
        occurrence.segment_size = entry.at(2);
        if (occurrence.segment_size == 0) {
          return std::nullopt;  // Its tasks must not count as waiting.
        }
        progress.occurrences.push_back(std::move(occurrence));
        continue;
      }
      for (const auto& step : entry.at(1)) {
        auto& tasks = occurrence.steps.emplace_back();
        for (const auto& task : step) {
          tasks.push_back(TaskFromJson(task));
        }
      }
      progress.occurrences.push_back(std::move(occurrence));
    }
    return progress;
  } catch (const Json::exception&) {
    return std::nullopt;  // The caller logs the skipped record.
  }
}

}  // namespace shallotbank::cell
