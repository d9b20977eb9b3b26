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

/// Choices of a history, drawn up front so that it can be replayed and shrunk.
class Tape {
 public:
  explicit Tape(std::vector<std::uint16_t> choices)
      : choices(std::move(choices)) {}

  /// Below `bound`; 0 once the choices are used up.
  auto Next(std::uint64_t bound) -> std::uint64_t {
    return this->place < this->choices.size()
               ? this->choices[this->place++] % bound
               : 0;
  }
  auto Name(const std::string& prefix, std::uint64_t count) -> std::string {
    return prefix + std::to_string(this->Next(count));
  }

 private:
  std::vector<std::uint16_t> choices;
  std::size_t place = 0;
};

inline auto DrawTape(std::size_t length) -> Tape {
  return Tape(*rc::gen::container<std::vector<std::uint16_t>>(
      length, rc::gen::inRange<std::uint16_t>(0, 65535)));
}

/// What a history knows of its past, so that records are often valid.
struct Past {
  std::vector<Offset> versions{0};
  std::map<std::string, std::vector<Epoch>> epochs;
};

inline auto RandomChange(Tape& tape) -> configuration::ConfigurationChange {
  using configuration::ItemKind;
  const auto kind = tape.Next(2) == 0 ? ItemKind::kQueue : ItemKind::kService;
  const auto name = tape.Name("n", 3);
  if (tape.Next(4) == 0) {
    return {kind, name, std::nullopt};
  }
  const std::string open = kind == ItemKind::kQueue ? R"(,"open":true)" : "";
  return Put(kind, name, R"({"name":")" + name + "\"" + open + "}");
}

/// The latest known value as a rule, else an older one: a stale reader.
inline auto Pick(const std::vector<Offset>& values, Tape& tape) -> Offset {
  if (values.empty()) {
    return 0;
  }
  const auto back = tape.Next(3) == 0 ? tape.Next(values.size()) : 0;
  return values[values.size() - 1 - back];
}

inline auto RandomRecord(Tape& tape, const std::string& writer, Past& past)
    -> Record {
  const auto resource = tape.Name("shard-", 2);
  const JobId job(tape.Name("j", 6));
  const RequestId request(tape.Name("r", 5));
  switch (tape.Next(10)) {
    case 0:
    case 1:
      return ConfigurationChanged{Pick(past.versions, tape),
                                  {RandomChange(tape)}};
    case 2:
      return Claim{ResourceId(resource),
                   ProcessId(writer),
                   Pick(past.epochs[resource], tape),
                   {"127.0.0.1:1"}};
    case 3:
      return Release{ResourceId(resource), ProcessId(writer),
                     Pick(past.epochs[resource], tape)};
    case 4: {
      auto spec = SmallJob(job.Text());
      spec.idempotency_key = tape.Next(2) == 0 ? "" : tape.Name("k", 3);
      return JobAccepted{spec};
    }
    case 5:
      return CancelRequested{job};
    case 6:
      return TaskFinished{job, static_cast<std::int64_t>(tape.Next(3)),
                          WorkOutcome::kFailed, 1, "m"};
    case 7:
      return JobFinished{job, static_cast<WorkOutcome>(tape.Next(3)), "end"};
    case 8:
      return RequestIntent{TeamId("t"), request, "d", tape.Next(2)};
    default:
      return RequestOutcome{TeamId("t"), request, tape.Next(2),
                            200,         "",      tape.Name("body", 9),
                            "digest"};
  }
}

/// A log: the bytes at offset n are the n-th element.
using LogBytes = std::vector<std::string>;

/// Writers `a` to `c` append `batches` batches; each one appears 1 to 3 times,
/// the repeats anywhere later. `step` is the time between batches.
inline auto RandomLog(Tape& tape,
                      std::size_t batches,
                      std::chrono::milliseconds step) -> LogBytes {
  LogBytes log;
  Past past;
  std::map<std::string, std::uint64_t> sequences;
  std::vector<std::string> repeats;
  auto at = kStart;
  for (std::size_t i = 0; i < batches; ++i) {
    const auto writer = std::string(1, static_cast<char>('a' + tape.Next(3)));
    std::vector<Record> records;
    for (auto count = tape.Next(3) + 1; count > 0; --count) {
      records.push_back(RandomRecord(tape, writer, past));
      if (std::holds_alternative<ConfigurationChanged>(records.back())) {
        past.versions.push_back(log.size());
      } else if (const auto* claim = std::get_if<Claim>(&records.back())) {
        past.epochs[claim->resource.Text()].push_back(log.size());
      }
    }
    at += step * static_cast<std::int64_t>(tape.Next(4));
    log.push_back(Bytes(writer, ++sequences[writer], std::move(records), at));
    for (auto count = tape.Next(3); count > 0; --count) {
      repeats.push_back(log.back());
    }
    if (!repeats.empty() && tape.Next(2) == 0) {
      const auto place = static_cast<std::ptrdiff_t>(tape.Next(repeats.size()));
      log.push_back(repeats[static_cast<std::size_t>(place)]);
      repeats.erase(repeats.begin() + place);
    }
  }
  log.insert(log.end(), repeats.begin(), repeats.end());
  return log;
}

}  // namespace shallotbank::journal
