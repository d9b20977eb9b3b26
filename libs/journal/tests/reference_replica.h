#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "journal/records.h"

namespace shallotbank::journal {

/// Reference implementation of the rules of `ReplicaState`, which scans the
/// whole log for each query. Ignores retention windows and limits.
class ReferenceReplica {
 public:
  auto Append(Offset offset, Batch batch) -> void {
    this->log.emplace_back(offset, std::move(batch));
  }

  auto Version() const -> Offset {
    Offset version = 0;
    this->ForEach<ConfigurationChanged>(
        [&](const auto& record, Offset offset, const auto&) {
          if (record.expected_version == version && offset > version) {
            version = offset;
          }
        });
    return version;
  }

  /// The configuration items in force, by kind and name.
  auto Items() const -> std::map<std::string, std::string> {
    std::map<std::string, std::string> items;
    Offset version = 0;
    this->ForEach<ConfigurationChanged>(
        [&](const auto& record, Offset offset, const auto&) {
          if (record.expected_version != version || offset <= version) {
            return;
          }
          version = offset;
          for (const auto& change : record.changes) {
            const auto key =
                std::string(configuration::ToText(change.kind)) + change.name;
            items.erase(key);
            if (change.value) {
              items.emplace(key, *change.value);
            }
          }
        });
    return items;
  }

  /// Owner and epoch; the owner is empty if nobody owns the resource.
  auto OwnerOf(const ResourceId& resource) const
      -> std::pair<ProcessId, Epoch> {
    std::pair<ProcessId, Epoch> now;
    for (const auto& [offset, batch] : this->Unique()) {
      for (const auto& record : batch.records) {
        if (const auto* claim = std::get_if<Claim>(&record)) {
          if (claim->resource == resource && claim->supersedes == now.second &&
              offset > now.second) {
            now = {claim->owner, offset};
          }
        } else if (const auto* release = std::get_if<Release>(&record)) {
          if (release->resource == resource && release->epoch < offset &&
              now == std::pair(release->owner, release->epoch)) {
            now = {};
          }
        }
      }
    }
    return now;
  }

  /// "none", "accepted", "cancel-requested" or the number of the outcome.
  auto JobStateText(const JobId& id) const -> std::string {
    std::string text = "none";
    std::set<std::string> keys;
    std::set<JobId> ids;
    for (const auto& [offset, batch] : this->Unique()) {
      for (const auto& record : batch.records) {
        if (const auto* accepted = std::get_if<JobAccepted>(&record)) {
          const auto& key = accepted->job.idempotency_key;
          if (!ids.contains(accepted->job.id) &&
              (key.empty() || keys.insert(key).second)) {
            ids.insert(accepted->job.id);
            text = accepted->job.id == id ? "accepted" : text;
          }
        } else if (const auto* cancel = std::get_if<CancelRequested>(&record)) {
          if (cancel->job == id && text == "accepted") {
            text = "cancel-requested";
          }
        } else if (const auto* end = std::get_if<JobFinished>(&record)) {
          if (end->job == id &&
              (text == "accepted" || text == "cancel-requested")) {
            text = std::to_string(static_cast<int>(end->outcome));
          }
        }
      }
    }
    return text;
  }

  /// Writer and token of the first intent, if there is one.
  auto FirstIntent(const RequestId& request) const
      -> std::optional<std::pair<ProcessId, std::uint64_t>> {
    std::optional<std::pair<ProcessId, std::uint64_t>> first;
    this->ForEach<RequestIntent>(
        [&](const auto& record, Offset, const ProcessId& writer) {
          if (record.request == request && !first) {
            first = {writer, record.token};
          }
        });
    return first;
  }

  /// The body of the first outcome that belongs to the first intent.
  auto AnswerBody(const RequestId& request) const
      -> std::optional<std::string> {
    std::optional<std::string> body;
    std::optional<std::pair<ProcessId, std::uint64_t>> first;
    for (const auto& [offset, batch] : this->Unique()) {
      for (const auto& record : batch.records) {
        if (const auto* intent = std::get_if<RequestIntent>(&record)) {
          if (intent->request == request && !first) {
            first = {batch.writer, intent->token};
          }
        } else if (const auto* end = std::get_if<RequestOutcome>(&record)) {
          if (end->request == request && !body &&
              first == std::pair(batch.writer, end->token)) {
            body = end->body;
          }
        }
      }
    }
    return body;
  }

 private:
  /// The log without duplicate batches.
  auto Unique() const -> std::vector<std::pair<Offset, Batch>> {
    std::vector<std::pair<Offset, Batch>> unique;
    std::set<std::pair<ProcessId, std::uint64_t>> seen;
    for (const auto& entry : this->log) {
      if (seen.emplace(entry.second.writer, entry.second.sequence).second) {
        unique.push_back(entry);
      }
    }
    return unique;
  }

  template <typename Kind, typename Action>
  auto ForEach(const Action& action) const -> void {
    for (const auto& [offset, batch] : this->Unique()) {
      for (const auto& record : batch.records) {
        if (const auto* match = std::get_if<Kind>(&record)) {
          action(*match, offset, batch.writer);
        }
      }
    }
  }

  std::vector<std::pair<Offset, Batch>> log;
};

}  // namespace shallotbank::journal
