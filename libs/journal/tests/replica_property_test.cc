#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <cstdlib>

#include "history.h"
#include "reference_replica.h"

namespace shallotbank::journal {
namespace {

struct FixedSeed {
  FixedSeed() {
    setenv("RC_PARAMS", "seed=20261204 max_success=1000 noshrink=1", 1);
  }
};
BOOST_TEST_GLOBAL_FIXTURE(FixedSeed);

auto JobStateText(const ReplicaState& state, const JobId& id) -> std::string {
  const auto* job = state.Jobs().Find(id);
  if (job == nullptr) {
    return "none";
  }
  if (job->state == JobState::kFinished) {
    return std::to_string(static_cast<int>(job->outcome));
  }
  return job->state == JobState::kAccepted ? "accepted" : "cancel-requested";
}

auto ConfigurationItems(const ReplicaState& state)
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

auto CheckAgainstReference(const ReplicaState& state,
                           const ReferenceReplica& reference) -> void {
  RC_ASSERT(state.Configuration().Version() == reference.Version());
  RC_ASSERT(ConfigurationItems(state) == reference.Items());
  for (const auto* name : {"shard-0", "shard-1"}) {
    const ResourceId resource(name);
    const auto [owner, epoch] = reference.OwnerOf(resource);
    const auto* ownership = state.Claims().Find(resource);
    RC_ASSERT(state.Claims().EpochOf(resource) == epoch);
    RC_ASSERT((ownership == nullptr ? ProcessId() : ownership->owner) == owner);
  }
  for (int i = 0; i < 6; ++i) {
    const JobId job("j" + std::to_string(i));
    RC_ASSERT(JobStateText(state, job) == reference.JobStateText(job));
  }
  for (int i = 0; i < 5; ++i) {
    const RequestId request("r" + std::to_string(i));
    const auto* entry = state.Requests().Find(TeamId("t"), request);
    const auto first = reference.FirstIntent(request);
    RC_ASSERT((entry != nullptr) == first.has_value());
    if (entry != nullptr) {
      RC_ASSERT(std::pair(entry->writer, entry->token) == *first);
      const auto body = entry->answer ? entry->answer->body : std::nullopt;
      RC_ASSERT(body == reference.AnswerBody(request));
    }
  }
}

// Guards against two valid changes of the same version, a configuration that
// reverts, duplicates that take effect, two owners, and jobs or responses that
// change or are lost.
BOOST_AUTO_TEST_CASE(MatchesReference) {
  BOOST_TEST(rc::check("the replica matches the reference implementation", [] {
    auto choices = DrawChoices(400);
    const auto log = RandomLog(choices, 20, std::chrono::seconds(1));
    Replica replica(ProcessId("a"));
    ReferenceReplica reference;
    std::map<Offset, int> valid_changes;
    Offset version = 0;
    for (Offset offset = 0; offset < log.size(); ++offset) {
      Batch batch;
      RC_ASSERT(DecodeError(log[offset], &batch).empty());
      const auto applied = replica.Apply(offset, log[offset]);
      reference.Append(offset, batch);
      for (std::size_t i = 0; i < applied.outcomes.size(); ++i) {
        const auto* change =
            std::get_if<ConfigurationChanged>(&batch.records[i]);
        if (change != nullptr && applied.outcomes[i].valid) {
          RC_ASSERT(++valid_changes[change->expected_version] == 1);
        }
      }
      RC_ASSERT(replica.State()->Configuration().Version() >= version);
      version = replica.State()->Configuration().Version();
      RC_ASSERT(
          replica.State()->Writers().HasSeen(batch.writer, batch.sequence));
      if (batch.writer == ProcessId("a")) {
        const auto* own = replica.FindOwnBatch(batch.sequence);
        RC_ASSERT(own != nullptr);
        RC_ASSERT(log[own->offset] == log[offset]);
        RC_ASSERT(own->offset <= offset);
      }
      if (offset % 16 == 15 || offset + 1 == log.size()) {
        CheckAgainstReference(*replica.State(), reference);
      }
    }
  }));
}

// Guards against dropping a batch as a duplicate because a later batch of the
// same writer overtook it.
BOOST_AUTO_TEST_CASE(OvertakenBatches) {
  BOOST_TEST(
      rc::check("each sequence number is inserted once, in any order", [] {
        const auto sequences = *rc::gen::container<std::vector<std::uint64_t>>(
            40, rc::gen::inRange<std::uint64_t>(1, 30));
        SequenceSet set;
        std::set<std::uint64_t> reference;
        for (const auto sequence : sequences) {
          RC_ASSERT(set.Insert(sequence) == reference.insert(sequence).second);
        }
        for (std::uint64_t sequence = 0; sequence < 32; ++sequence) {
          RC_ASSERT(set.Contains(sequence) == reference.contains(sequence));
        }
      }));
}

// Guards against request ids and finished jobs that expire early because a
// clock is wrong. Log time must never advance further than true time.
BOOST_AUTO_TEST_CASE(LogTime) {
  BOOST_TEST(rc::check("log time does not advance further than true time", [] {
    auto choices = DrawChoices(200);
    WriterTable writers{std::chrono::hours(48)};
    std::map<std::string, std::uint64_t> sequences;
    std::chrono::minutes elapsed{0};
    std::optional<WallTime> begin;
    for (int i = 0; i < 60; ++i) {
      elapsed += std::chrono::minutes(choices.Next(30));
      const auto skew = static_cast<std::int64_t>(choices.Next(3));
      const auto writer = std::to_string(skew);
      // One clock is correct, one is far ahead, and one is far behind.
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
