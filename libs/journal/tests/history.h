#pragma once

#include <rapidcheck.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "journal_support.h"

namespace shallotbank::journal {

/// Random choices for a log, drawn up front so that a case can be replayed and
/// shrunk.
class ChoiceSequence {
 public:
  explicit ChoiceSequence(std::vector<std::uint16_t> values)
      : values(std::move(values)) {}

  /// A value below `bound`; 0 once all choices are used up.
  auto Next(std::uint64_t bound) -> std::uint64_t {
    return this->position < this->values.size()
               ? this->values[this->position++] % bound
               : 0;
  }
  auto NextName(const std::string& prefix, std::uint64_t count) -> std::string {
    return prefix + std::to_string(this->Next(count));
  }

 private:
  std::vector<std::uint16_t> values;
  std::size_t position = 0;
};

inline auto DrawChoices(std::size_t length) -> ChoiceSequence {
  return ChoiceSequence(*rc::gen::container<std::vector<std::uint16_t>>(
      length, rc::gen::inRange<std::uint16_t>(0, 65535)));
}

/// Versions and epochs generated so far; later records refer to them so that
/// they are often valid.
struct GeneratedValues {
  std::vector<Offset> versions{0};
  std::map<std::string, std::vector<Epoch>> epochs;
};

inline auto RandomChange(ChoiceSequence& choices)
    -> configuration::ConfigurationChange {
  using configuration::ItemKind;
  const auto kind =
      choices.Next(2) == 0 ? ItemKind::kQueue : ItemKind::kService;
  const auto name = choices.NextName("n", 3);
  if (choices.Next(4) == 0) {
    return {kind, name, std::nullopt};
  }
  const std::string open = kind == ItemKind::kQueue ? R"(,"open":true)" : "";
  return PutItem(kind, name, R"({"name":")" + name + "\"" + open + "}");
}

/// Usually the latest value, sometimes an older one as a stale reader would
/// use.
inline auto PickLatestOrStale(const std::vector<Offset>& values,
                              ChoiceSequence& choices) -> Offset {
  if (values.empty()) {
    return 0;
  }
  const auto back = choices.Next(3) == 0 ? choices.Next(values.size()) : 0;
  return values[values.size() - 1 - back];
}

inline auto RandomRecord(ChoiceSequence& choices,
                         const std::string& writer,
                         GeneratedValues& generated) -> Record {
  const auto resource = choices.NextName("shard-", 2);
  const JobId job(choices.NextName("j", 6));
  const RequestId request(choices.NextName("r", 5));
  switch (choices.Next(10)) {
    case 0:
    case 1:
      return ConfigurationChanged{
          PickLatestOrStale(generated.versions, choices),
          {RandomChange(choices)}};
    case 2:
      return Claim{ResourceId(resource),
                   ProcessId(writer),
                   PickLatestOrStale(generated.epochs[resource], choices),
                   {"127.0.0.1:1"}};
    case 3:
      return Release{ResourceId(resource), ProcessId(writer),
                     PickLatestOrStale(generated.epochs[resource], choices)};
    case 4: {
      auto spec = SmallJob(job.Text());
      spec.idempotency_key =
          choices.Next(2) == 0 ? "" : choices.NextName("k", 3);
      return JobAccepted{spec};
    }
    case 5:
      return CancelRequested{job};
    case 6:
      return TaskFinished{job, static_cast<std::int64_t>(choices.Next(3)),
                          WorkOutcome::kFailed, 1, "m"};
    case 7:
      return JobFinished{job, static_cast<WorkOutcome>(choices.Next(3)), "end"};
    case 8:
      return RequestIntent{TeamId("t"), request, "d", choices.Next(2)};
    default:
      return RequestOutcome{TeamId("t"), request, choices.Next(2),
                            200,         "",      choices.NextName("body", 9),
                            "digest"};
  }
}

/// The contents of a log: element n holds the bytes at offset n.
using LogBytes = std::vector<std::string>;

/// Generates the log of writers `a` to `c` that append `batches` batches. Each
/// batch appears 1 to 3 times, with the duplicates anywhere later. The time
/// between batches is a multiple of `step`.
inline auto RandomLog(ChoiceSequence& choices,
                      std::size_t batches,
                      std::chrono::milliseconds step) -> LogBytes {
  LogBytes log;
  GeneratedValues generated;
  std::map<std::string, std::uint64_t> sequences;
  std::vector<std::string> duplicates;
  auto at = kStart;
  for (std::size_t i = 0; i < batches; ++i) {
    const auto writer =
        std::string(1, static_cast<char>('a' + choices.Next(3)));
    std::vector<Record> records;
    for (auto count = choices.Next(3) + 1; count > 0; --count) {
      records.push_back(RandomRecord(choices, writer, generated));
      if (std::holds_alternative<ConfigurationChanged>(records.back())) {
        generated.versions.push_back(log.size());
      } else if (const auto* claim = std::get_if<Claim>(&records.back())) {
        generated.epochs[claim->resource.Text()].push_back(log.size());
      }
    }
    at += step * static_cast<std::int64_t>(choices.Next(4));
    log.push_back(
        EncodeOrEmpty(writer, ++sequences[writer], std::move(records), at));
    for (auto count = choices.Next(3); count > 0; --count) {
      duplicates.push_back(log.back());
    }
    if (!duplicates.empty() && choices.Next(2) == 0) {
      const auto place =
          static_cast<std::ptrdiff_t>(choices.Next(duplicates.size()));
      log.push_back(duplicates[static_cast<std::size_t>(place)]);
      duplicates.erase(duplicates.begin() + place);
    }
  }
  log.insert(log.end(), duplicates.begin(), duplicates.end());
  return log;
}

}  // namespace shallotbank::journal
