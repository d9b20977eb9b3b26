#include "journal/writer_table.h"

#include <algorithm>

#include "field_reader.h"

namespace shallotbank::journal {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// Interval at which inactive writers are removed, in log time.
constexpr milliseconds kExpiryInterval = std::chrono::minutes(10);
constexpr std::int64_t kMaxSkewMs = 1'000'000'000'000'000;

}  // namespace

auto WriterTable::HasSeen(const ProcessId& writer, std::uint64_t sequence) const
    -> bool {
  const auto found = this->writers.find(writer);
  return found != this->writers.end() && found->second.seen.Contains(sequence);
}

auto WriterTable::AdvanceLogTime(Writer& writer, WallTime at) -> void {
  const auto candidate = at + writer.clock_offset;
  const auto step = candidate - this->log_time;
  if (step > kMaxStep) {
    this->log_time += kMaxStep;
  } else {
    this->log_time = std::max(this->log_time, candidate);
  }
  // The clock of the writer was changed, in either direction, so its offset is
  // measured again. A smaller step back is a batch that was overtaken by a
  // later one.
  if (step > kMaxStep || writer.latest - at > kMaxStep) {
    writer.clock_offset = this->log_time - at;
    writer.latest = at;
  }
  writer.latest = std::max(writer.latest, at);
}

auto WriterTable::Observe(const ProcessId& writer,
                          std::uint64_t sequence,
                          WallTime at) -> bool {
  if (this->HasSeen(writer, sequence)) {
    return false;
  }
  if (!this->is_started) {
    this->is_started = true;
    this->log_time = at;
    this->next_expiry = at;
  }
  const auto [position, is_new] = this->writers.try_emplace(writer);
  auto& entry = position->second;
  if (is_new) {
    entry.latest = at;
    entry.clock_offset = this->log_time - at;
  }
  entry.seen.Insert(sequence);
  this->AdvanceLogTime(entry, at);
  entry.last_seen = this->log_time;
  return true;
}

auto WriterTable::Expire() -> void {
  if (this->log_time < this->next_expiry) {
    return;
  }
  this->next_expiry = this->log_time + kExpiryInterval;
  std::erase_if(this->writers, [this](const auto& entry) {
    return this->log_time - entry.second.last_seen > this->window;
  });
}

auto WriterTable::Save(const SnapshotSink& sink) const -> void {
  sink({{"kind", "log_time"},
        {"started", this->is_started},
        {"at", WriteTimestamp(this->log_time)},
        {"next_expiry", WriteTimestamp(this->next_expiry)}});
  for (const auto& [id, writer] : this->writers) {
    auto ranges = json::array();
    for (const auto& [low, high] : writer.seen.Ranges()) {
      ranges.push_back(low);
      ranges.push_back(high);
    }
    sink({{"kind", "writer"},
          {"writer", id.Text()},
          {"ranges", std::move(ranges)},
          {"latest", WriteTimestamp(writer.latest)},
          {"behind_log", writer.clock_offset.count()},
          {"last_seen", WriteTimestamp(writer.last_seen)}});
  }
}

auto WriterTable::Load(const json& item) -> bool {
  FirstError error;
  FieldReader reader(&item, "", error);
  if (reader.String("kind") == "log_time") {
    this->is_started = reader.BoolOr("started", false);
    this->log_time = reader.Timestamp("at");
    this->next_expiry = reader.Timestamp("next_expiry");
    return !error;
  }
  const auto id = reader.Identifier<ProcessId>("writer");
  Writer writer;
  writer.latest = reader.Timestamp("latest");
  writer.clock_offset =
      milliseconds(reader.Integer("behind_log", -kMaxSkewMs, kMaxSkewMs));
  writer.last_seen = reader.Timestamp("last_seen");
  const auto* numbers = reader.Array("ranges");
  if (error || numbers->size() % 2 != 0) {
    return false;
  }
  std::vector<SequenceSet::Range> ranges;
  for (std::size_t i = 0; i < numbers->size(); i += 2) {
    const auto& low = (*numbers)[i];
    const auto& high = (*numbers)[i + 1];
    if (!low.is_number_unsigned() || !high.is_number_unsigned()) {
      return false;
    }
    ranges.emplace_back(low.get<std::uint64_t>(), high.get<std::uint64_t>());
  }
  return writer.seen.Assign(std::move(ranges)) &&
         this->writers.emplace(id, std::move(writer)).second;
}

}  // namespace shallotbank::journal
