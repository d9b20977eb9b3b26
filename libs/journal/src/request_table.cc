#include "journal/request_table.h"

#include <algorithm>

#include "field_reader.h"
#include "record_fields.h"

namespace shallotbank::journal {
namespace {

using nlohmann::json;

constexpr std::int64_t kMaxStatus = 999;

auto KeyOf(const TeamId& team, const RequestId& request) -> std::string {
  auto text = team.Text();
  text += '\0';
  text += request.Text();
  return text;
}

}  // namespace

auto RequestTable::Find(const TeamId& team, const RequestId& request) const
    -> const RequestEntry* {
  const auto found = this->entries.find(KeyOf(team, request));
  return found == this->entries.end() ? nullptr : &found->second;
}

auto RequestTable::IsFirstIntent(const TeamId& team,
                                 const RequestId& request,
                                 const ProcessId& writer,
                                 std::uint64_t token) const -> bool {
  const auto* entry = this->Find(team, request);
  return entry != nullptr && entry->writer == writer && entry->token == token;
}

auto RequestTable::Add(std::string key, RequestEntry entry) -> void {
  const auto position =
      this->entries.emplace(std::move(key), std::move(entry)).first;
  this->by_age.push_back(&position->first);
}

auto RequestTable::StoreBody(Entries::value_type& entry) -> void {
  this->stored_bodies.push_back(&entry.first);
  this->body_bytes += entry.second.answer->body->size();
  this->DropOldestBodies();
}

auto RequestTable::DropOldestBodies() -> void {
  while (this->body_bytes > this->limits.max_answer_bytes) {
    auto& body = this->entries.at(*this->stored_bodies.front()).answer->body;
    this->body_bytes -= body->size();
    body.reset();
    this->stored_bodies.pop_front();
  }
}

auto RequestTable::Apply(const RequestIntent& record,
                         const ProcessId& writer,
                         WallTime log_time) -> RecordOutcome {
  auto key = KeyOf(record.team, record.request);
  if (this->entries.contains(key)) {
    return Invalid("not_first");
  }
  if (this->IsFull()) {
    return Invalid("request_ids_full");
  }
  this->Add(std::move(key),
            {record.digest, writer, record.token, log_time, std::nullopt});
  return kValid;
}

auto RequestTable::Apply(const RequestOutcome& record, const ProcessId& writer)
    -> RecordOutcome {
  const auto found = this->entries.find(KeyOf(record.team, record.request));
  if (found == this->entries.end()) {
    return Invalid("unknown_request");
  }
  auto& entry = found->second;
  if (entry.writer != writer || entry.token != record.token) {
    return Invalid("not_first");
  }
  if (entry.answer) {
    return Invalid("already_answered");
  }
  entry.answer = Answer{record.status, record.content_type, record.body,
                        record.body_digest};
  if (entry.answer->body) {
    this->StoreBody(*found);
  }
  return kValid;
}

auto RequestTable::Expire(WallTime log_time, std::chrono::milliseconds window)
    -> void {
  while (!this->by_age.empty()) {
    const auto found = this->entries.find(*this->by_age.front());
    if (log_time - found->second.recorded_at <= window) {
      return;
    }
    const auto& answer = found->second.answer;
    if (answer && answer->body) {
      this->body_bytes -= answer->body->size();
      // Nearly always at the front, since responses are recorded in about the
      // same order as their intents.
      this->stored_bodies.erase(std::find(this->stored_bodies.begin(),
                                          this->stored_bodies.end(),
                                          &found->first));
    }
    this->by_age.pop_front();
    this->entries.erase(found);
  }
}

auto RequestTable::Save(const SnapshotSink& sink) const -> void {
  for (const auto* key : this->by_age) {
    const auto& entry = this->entries.at(*key);
    const auto separator = key->find('\0');
    json item{{"kind", "request"},
              {"team", key->substr(0, separator)},
              {"request", key->substr(separator + 1)},
              {"digest", entry.digest},
              {"writer", entry.writer.Text()},
              {"token", entry.token},
              {"recorded", WriteTimestamp(entry.recorded_at)}};
    if (entry.answer) {
      const auto& answer = *entry.answer;
      WriteAnswer(answer.status, answer.content_type, answer.body,
                  answer.body_digest, item);
    }
    sink(item);
  }
  // The order in which bodies are dropped in favour of newer ones.
  for (const auto* key : this->stored_bodies) {
    const auto separator = key->find('\0');
    sink({{"kind", "request_body"},
          {"team", key->substr(0, separator)},
          {"request", key->substr(separator + 1)}});
  }
}

auto RequestTable::Load(const json& item) -> bool {
  FirstError error;
  FieldReader reader(&item, "", error);
  const auto key = KeyOf(TeamId(reader.String("team")),
                         reader.Identifier<RequestId>("request"));
  if (reader.String("kind") == "request_body") {
    const auto found = this->entries.find(key);
    if (error || found == this->entries.end() || !found->second.answer ||
        !found->second.answer->body) {
      return false;
    }
    this->StoreBody(*found);
    return true;
  }
  RequestEntry entry;
  entry.digest = reader.String("digest");
  entry.writer = reader.Identifier<ProcessId>("writer");
  entry.token = reader.Unsigned("token");
  entry.recorded_at = reader.Timestamp("recorded");
  if (reader.Has("status")) {
    Answer answer;
    answer.status = static_cast<int>(reader.Integer("status", 0, kMaxStatus));
    answer.content_type = reader.StringOr("content_type", "");
    if (reader.Has("body")) {
      answer.body = reader.Bytes("body");
    }
    answer.body_digest = reader.StringOr("body_digest", "");
    entry.answer = std::move(answer);
  }
  if (error || this->entries.contains(key)) {
    return false;
  }
  this->Add(key, std::move(entry));
  return true;
}

}  // namespace shallotbank::journal
