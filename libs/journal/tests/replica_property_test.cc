#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <cstdlib>

#include "history.h"
#include "naive_replica.h"

namespace shallotbank::journal {
namespace {

struct FixedSeed {
  FixedSeed() {
    setenv("RC_PARAMS", "seed=20261204 max_success=1000 noshrink=1", 1);
  }
};
BOOST_TEST_GLOBAL_FIXTURE(FixedSeed);

auto JobText(const ReplicaState& state, const JobId& id) -> std::string {
  const auto* job = state.Jobs().Find(id);
  if (job == nullptr) {
    return "none";
  }
  if (job->state == JobState::kFinished) {
    return std::to_string(static_cast<int>(job->outcome));
  }
  return job->state == JobState::kAccepted ? "accepted" : "cancel-requested";
}

auto ItemTexts(const ReplicaState& state)
    -> std::map<std::string, std::string> {
  std::map<std::string, std::string> items;
  const auto& configuration = state.Configuration().Get();
  for (const auto& [name, queue] : configuration.Queues()) {
    items["queue" + name.Text()] = R"({"name":")" + name.Text() +
                                   (queue.open ? R"(","open":true})" : "\"}");
  }
  for (const auto& [name, service] : configuration.Services()) {
    items["service" + name.Text()] = R"({"name":")" + name.Text() + "\"}";
  }
  return items;
}

auto CheckAgainstNaive(const ReplicaState& state, const NaiveReplica& naive)
    -> void {
  RC_ASSERT(state.Configuration().Version() == naive.Version());
  RC_ASSERT(ItemTexts(state) == naive.Items());
  for (const auto* name : {"shard-0", "shard-1"}) {
    const ResourceId resource(name);
    const auto [owner, epoch] = naive.OwnerOf(resource);
    const auto* ownership = state.Claims().Find(resource);
    RC_ASSERT(state.Claims().EpochOf(resource) == epoch);
    RC_ASSERT((ownership == nullptr ? ProcessId() : ownership->owner) == owner);
  }
  for (int i = 0; i < 6; ++i) {
    const JobId job("j" + std::to_string(i));
    RC_ASSERT(JobText(state, job) == naive.JobText(job));
  }
  for (int i = 0; i < 5; ++i) {
    const RequestId request("r" + std::to_string(i));
    const auto* entry = state.Requests().Find(TeamId("t"), request);
    const auto first = naive.FirstIntent(request);
    RC_ASSERT((entry != nullptr) == first.has_value());
    if (entry != nullptr) {
      RC_ASSERT(std::pair(entry->writer, entry->token) == *first);
      const auto body = entry->answer ? entry->answer->body : std::nullopt;
      RC_ASSERT(body == naive.AnswerBody(request));
    }
  }
}

// Guards against two winners of a race, a configuration that reverts, repeats
// that take effect, two owners, and work or answers that change or get lost.
BOOST_AUTO_TEST_CASE(SameAsNaive) {
  BOOST_TEST(rc::check("replica equals naive replica", [] {
    auto tape = DrawTape(400);
    const auto log = RandomLog(tape, 20, std::chrono::seconds(1));
    Replica replica(ProcessId("a"));
    NaiveReplica naive;
    std::map<Offset, int> winners;
    Offset version = 0;
    for (Offset offset = 0; offset < log.size(); ++offset) {
      Batch batch;
      RC_ASSERT(DecodeError(log[offset], &batch).empty());
      const auto applied = replica.Apply(offset, log[offset]);
      naive.Append(offset, batch);
      for (std::size_t i = 0; i < applied.outcomes.size(); ++i) {
        const auto* change =
            std::get_if<ConfigurationChanged>(&batch.records[i]);
        if (change != nullptr && applied.outcomes[i].valid) {
          RC_ASSERT(++winners[change->expected_version] == 1);
        }
      }
      RC_ASSERT(replica.State()->Configuration().Version() >= version);
      version = replica.State()->Configuration().Version();
      RC_ASSERT(
          replica.State()->Writers().HasSeen(batch.writer, batch.sequence));
      if (batch.writer == ProcessId("a")) {
        const auto* own = replica.FindOwn(batch.sequence);
        RC_ASSERT(own != nullptr);
        RC_ASSERT(log[own->offset] == log[offset]);
        RC_ASSERT(own->offset <= offset);
      }
      if (offset % 16 == 15 || offset + 1 == log.size()) {
        CheckAgainstNaive(*replica.State(), naive);
      }
    }
  }));
}

// Guards against batches that are dropped as repeats because a later one of the
// same writer overtook them.
BOOST_AUTO_TEST_CASE(OvertakenBatches) {
  BOOST_TEST(rc::check("each number counts once, in any order", [] {
    const auto sequences = *rc::gen::container<std::vector<std::uint64_t>>(
        40, rc::gen::inRange<std::uint64_t>(1, 30));
    SequenceSet set;
    std::set<std::uint64_t> naive;
    for (const auto sequence : sequences) {
      RC_ASSERT(set.Insert(sequence) == naive.insert(sequence).second);
    }
    for (std::uint64_t sequence = 0; sequence < 32; ++sequence) {
      RC_ASSERT(set.Contains(sequence) == naive.contains(sequence));
    }
  }));
}

// Guards against request ids and finished jobs that are forgotten early because
// a clock is off: the time of the log never outruns the true time.
BOOST_AUTO_TEST_CASE(LogTime) {
  BOOST_TEST(rc::check("log time does not outrun true time", [] {
    auto tape = DrawTape(200);
    WriterTable writers{std::chrono::hours(48)};
    std::map<std::string, std::uint64_t> sequences;
    std::chrono::minutes elapsed{0};
    std::optional<WallTime> begin;
    for (int i = 0; i < 60; ++i) {
      elapsed += std::chrono::minutes(tape.Next(30));
      const auto skew = static_cast<std::int64_t>(tape.Next(3));
      const auto writer = std::to_string(skew);
      // One writer is right, one far ahead, and one far behind.
      const auto at =
          kStart + elapsed + std::chrono::hours(90'000) * ((skew + 1) % 3 - 1);
      writers.Observe(ProcessId(writer), ++sequences[writer], at);
      begin = begin.value_or(writers.LogTime());
      RC_ASSERT(writers.LogTime() - *begin <= elapsed);
    }
    writers.Observe(ProcessId("0"), ++sequences["0"], kStart + elapsed);
  }));
}

}  // namespace
}  // namespace shallotbank::journal
