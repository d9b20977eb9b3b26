#include "journal/replica.h"

#include <boost/test/unit_test.hpp>

#include "journal_support.h"

namespace shallotbank::journal {
namespace {

using configuration::ItemKind;

/// A replica that reads the batches of the writers `a` and `b`.
struct ReplicaFixture {
  Replica replica{ProcessId("a")};

  auto Append(const std::string& writer,
              std::uint64_t sequence,
              std::vector<Record> records,
              WallTime at = kStart) -> std::string {
    const auto applied = this->replica.Apply(
        this->replica.Next(),
        EncodeOrEmpty(writer, sequence, std::move(records), at));
    std::string reasons;
    for (const auto& outcome : applied.outcomes) {
      reasons += reasons.empty() ? "" : " ";
      reasons += outcome.valid ? "ok" : outcome.reason;
    }
    return reasons;
  }
  auto State() const -> const ReplicaState& { return *this->replica.State(); }
};

// Guards against a change that is accepted for a version no longer in force,
// and against a lost response that makes a change take effect twice.
BOOST_FIXTURE_TEST_CASE(ConfigurationRace, ReplicaFixture) {
  Append("x", 1, {});
  BOOST_TEST(Append("a", 1, {ConfigurationChanged{0, TeamChanges(5)}}) == "ok");
  BOOST_TEST(State().Configuration().Version() == 1U);
  BOOST_TEST(Append("b", 1, {ConfigurationChanged{0, TeamChanges(6)}}) ==
             "stale_version");
  BOOST_TEST(Append("b", 2, {ConfigurationChanged{1, TeamChanges(7)}}) == "ok");
  BOOST_TEST(Append("a", 1, {ConfigurationChanged{3, TeamChanges(5)}}) == "");
  BOOST_TEST(State().Configuration().Get().FindTeam(TeamId("t"))->limit.tasks ==
             7);
  BOOST_TEST(State().Configuration().Version() == 3U);
  BOOST_TEST(replica.Counters().duplicate_batches == 1U);
  BOOST_TEST_REQUIRE(replica.FindOwnBatch(1) != nullptr);
  BOOST_TEST(replica.FindOwnBatch(1)->offset == 1U);
  BOOST_TEST(replica.FindOwnBatch(1)->outcomes.at(0).valid);
  BOOST_TEST(replica.FindOwnBatch(2) == nullptr);
}

// Guards against an item of a newer release that stops older releases from
// following the configuration, above all from seeing the withdrawal of a key.
BOOST_FIXTURE_TEST_CASE(UnreadableItem, ReplicaFixture) {
  const auto hash = configuration::Sha256Hex("secret");
  Append("x", 1, {});
  Append(
      "a", 1,
      {ConfigurationChanged{
          0,
          {PutItem(ItemKind::kOrganisation, "o", R"({"name":"o"})"),
           PutItem(
               ItemKind::kTeam, "t",
               R"({"name":"t","organisation":"o","limit":{"tasks":1},"x":1})"),
           PutItem(ItemKind::kKey, "k",
                   R"({"name":"k","team":"t","sha256":")" + hash + "\"}"),
           PutItem(ItemKind::kQueue, "q", R"({"name":"q"})"),
           PutItem(ItemKind::kProfile, "p",
                   R"({"name":"p","queue":"q","class":"daemon"})")}}});
  const auto& table = State().Configuration();
  BOOST_TEST(!table.ItemErrors().empty());
  BOOST_TEST(table.Get().FindProfile(ProfileName("p")) == nullptr);
  BOOST_TEST(table.Get().Authenticate(TeamId("t"), "secret").has_value());
  BOOST_TEST(Append("b", 1,
                    {ConfigurationChanged{
                        1, {{ItemKind::kKey, "k", std::nullopt}}}}) == "ok");
  BOOST_TEST(!table.Get().Authenticate(TeamId("t"), "secret").has_value());
  // The field that only the newer release knows is preserved.
  BOOST_TEST(Fingerprint(State()).find("\"x\":1") != std::string::npos);
}

// Guards against two owners of one resource.
BOOST_FIXTURE_TEST_CASE(Claims, ReplicaFixture) {
  const ResourceId r("shard-0");
  const ProcessId a("a");
  const ProcessId b("b");
  BOOST_TEST(Append("a", 1, {Claim{r, a, 0, {"127.0.0.1:1"}}}) ==
             "offset_zero");
  BOOST_TEST(Append("a", 2, {Claim{r, a, 0, {"127.0.0.1:1"}}}) == "ok");
  BOOST_TEST(Append("b", 1, {Claim{r, b, 0, {}}}) == "superseded");
  BOOST_TEST(Append("b", 2, {Release{r, b, 1}}) == "not_owner");
  BOOST_TEST(Append("b", 3, {Claim{r, b, 1, {}}}) == "ok");
  BOOST_TEST(State().Claims().EpochOf(r) == 4U);
  BOOST_TEST(Append("a", 3, {Release{r, a, 1}}) == "not_owner");
  BOOST_TEST(Append("b", 4, {Release{r, b, 4}, Claim{r, b, 4, {}}}) ==
             "ok superseded");
  BOOST_TEST(State().Claims().Find(r) == nullptr);
}

// Guards against accepted work that is lost, accepted twice, or reported with
// another result later.
BOOST_FIXTURE_TEST_CASE(Jobs, ReplicaFixture) {
  auto first = SmallJob("j1");
  first.idempotency_key = "key";
  auto second = SmallJob("j2");
  second.idempotency_key = "key";
  const JobId id("j1");
  BOOST_TEST(Append("a", 1, {JobAccepted{first}}) == "ok");
  BOOST_TEST(Append("b", 1, {JobAccepted{second}, JobAccepted{first}}) ==
             "duplicate_idempotency_key duplicate_job");
  BOOST_TEST(State().Jobs().FindByKey(TeamId("t"), "key")->spec.id == id);
  BOOST_TEST((State().Jobs().Find(id)->spec == first));
  BOOST_TEST(State().Jobs().Unfinished(ShardId("shard-0")).size() == 1U);
  BOOST_TEST(Append("b", 2,
                    {TaskFinished{id, 0, WorkOutcome::kSucceeded, 1, ""},
                     TaskFinished{id, 0, WorkOutcome::kFailed, 2, ""},
                     TaskFinished{id, 2, WorkOutcome::kFailed, 1, ""},
                     CancelRequested{id}, CancelRequested{JobId("j9")}}) ==
             "ok task_finished unknown_task ok unknown_job");
  BOOST_TEST((State().Jobs().Find(id)->state == JobState::kCancelRequested));
  BOOST_TEST(Append("b", 3,
                    {JobFinished{id, WorkOutcome::kCancelled, "asked"},
                     JobFinished{id, WorkOutcome::kSucceeded, ""},
                     TaskFinished{id, 1, WorkOutcome::kFailed, 1, ""},
                     CancelRequested{id}}) ==
             "ok job_finished job_finished job_finished");
  BOOST_TEST(State().Jobs().Find(id)->reason == "asked");
  BOOST_TEST(State().Jobs().Find(id)->succeeded == 1);
  BOOST_TEST(State().Jobs().Unfinished(ShardId("shard-0")).empty());
}

// Guards against two hosts that forward the same non-idempotent request, and
// against a response that is given to another team.
BOOST_FIXTURE_TEST_CASE(Requests, ReplicaFixture) {
  const TeamId t("t");
  const RequestId r("r");
  const std::string body("\0\xff answer", 9);
  BOOST_TEST(Append("a", 1, {RequestIntent{t, r, "d", 1}}) == "ok");
  BOOST_TEST(Append("b", 1,
                    {RequestIntent{t, r, "e", 1},
                     RequestOutcome{t, r, 1, 200, "", "other", ""},
                     RequestIntent{TeamId("u"), r, "d", 2}}) ==
             "not_first not_first ok");
  BOOST_TEST(State().Requests().IsFirstIntent(t, r, ProcessId("a"), 1));
  BOOST_TEST(!State().Requests().IsFirstIntent(t, r, ProcessId("b"), 1));
  BOOST_TEST(Append("a", 2,
                    {RequestOutcome{t, r, 1, 200, "text/plain", body, ""},
                     RequestOutcome{t, r, 1, 500, "", "late", ""}}) ==
             "ok already_answered");
  BOOST_TEST((State().Requests().Find(t, r)->answer->body == body));
  BOOST_TEST(!State().Requests().Find(TeamId("u"), r)->answer);
  // The clock of one writer jumps by years: the id is still stored.
  Append("b", 2, {}, kStart + std::chrono::hours(90'000));
  BOOST_TEST(State().Requests().Find(t, r) != nullptr);
  for (std::uint64_t hour = 1; hour <= 25; ++hour) {
    Append("a", 2 + hour, {}, kStart + std::chrono::hours(hour));
  }
  BOOST_TEST(State().Requests().Count() == 0U);
}

// Guards against allotments that add up to more than the limit of the team.
BOOST_FIXTURE_TEST_CASE(Allotments, ReplicaFixture) {
  const TeamId t("t");
  const auto shard = [](std::int64_t i) { return configuration::ShardAt(i); };
  const auto tasks = [&] {
    std::string text;
    for (std::int64_t i = 0; i < 3; ++i) {
      text += std::to_string(State().Allotment(t, shard(i)).tasks) + " ";
    }
    return text;
  };
  const auto move = [&](std::int64_t amount, Epoch epoch) {
    return AllotmentMoved{t, shard(0), shard(2), {{}, amount}, epoch};
  };
  Append("x", 1, {});
  Append("a", 1,
         {ConfigurationChanged{0, TeamChanges(11, 3)},
          Claim{ResourceOf(shard(0)), ProcessId("a"), 0, {}}});
  BOOST_TEST(tasks() == "4 4 3 ");
  BOOST_TEST(
      Append("a", 2, {move(3, 1), move(2, 1), move(1, 0), move(-1, 1)}) == "");
  BOOST_TEST(Append("a", 3, {move(3, 1), move(2, 1), move(1, 0)}) ==
             "ok not_covered not_owner");
  BOOST_TEST(Append("b", 1, {move(1, 1)}) == "not_owner");
  BOOST_TEST(tasks() == "1 4 6 ");
  BOOST_TEST(Append("a", 4, {ConfigurationChanged{1, TeamChanges(5, 3)}}) ==
             "ok");
  BOOST_TEST(tasks() == "2 1 2 ");
  BOOST_TEST(Append("a", 5, {ConfigurationChanged{5, TeamChanges(12, 3)}}) ==
             "ok");
  BOOST_TEST(tasks() == "5 3 4 ");
}

// Guards against a replica that exposes a state with a gap.
BOOST_FIXTURE_TEST_CASE(Gap, ReplicaFixture) {
  Append("a", 1, {JobAccepted{SmallJob("j1")}});
  replica.Apply(2, EncodeOrEmpty("a", 3, {}));
  BOOST_TEST((replica.GetStatus() == Replica::Status::kNeedsSnapshot));
  BOOST_TEST(replica.State() == nullptr);
  replica.Apply(1, EncodeOrEmpty("a", 2, {}));
  BOOST_TEST(replica.State() == nullptr);
}

}  // namespace
}  // namespace shallotbank::journal
