#include "routing/minion_router.h"

#include <functional>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "router_fixture.h"

namespace shallotbank::routing {
namespace {

namespace data = boost::unit_test::data;

struct RefusalCase {
  RefusalReason reason = RefusalReason::kNoMinions;
  Verdict verdict = Verdict::kNotRun;
  std::function<Actions()> run;
};

auto operator<<(std::ostream& out, const RefusalCase& test) -> std::ostream& {
  return out << test.reason;
}

auto SmallQueue(std::size_t limit) -> RouterPolicy {
  RouterPolicy policy;
  policy.queue_limit = limit;
  return policy;
}

auto CompleteFirst(const Outcome& outcome) -> Actions {
  RouterFixture fixture({MakeMinion(0, 1)});
  const auto sent = fixture.Submit(fixture.MakeRequest());
  return fixture.Complete(FindAction<Dispatch>(sent)->attempt, outcome);
}

const std::vector<RefusalCase> kRefusals = {
    {RefusalReason::kDuplicateRequest, Verdict::kMayHaveRun,
     [] {
       RouterFixture fixture({MakeMinion(0, 2)});
       const auto request = fixture.MakeRequest();
       fixture.Submit(request);
       return fixture.Submit(request);
     }},
    {RefusalReason::kDeadlinePassed, Verdict::kNotRun,
     [] {
       RouterFixture fixture({MakeMinion(0, 1)});
       fixture.Submit(fixture.MakeRequest());
       fixture.Submit(fixture.MakeRequest(Ms(100)));
       fixture.clock.Advance(Ms(100));
       return fixture.Expire();
     }},
    {RefusalReason::kDeadlineTooLong, Verdict::kNotRun,
     [] {
       RouterFixture fixture({MakeMinion(0, 1)});
       return fixture.Submit(fixture.MakeRequest(std::chrono::minutes(1)));
     }},
    {RefusalReason::kWouldMissDeadline, Verdict::kNotRun,
     [] {
       RouterFixture fixture({MakeMinion(0, 1)});
       const auto sent = fixture.Submit(fixture.MakeRequest());
       fixture.Complete(FindAction<Dispatch>(sent)->attempt,
                        SuccessfulOutcome(Ms(200)));
       fixture.Submit(fixture.MakeRequest());
       return fixture.Submit(fixture.MakeRequest(Ms(300)));
     }},
    {RefusalReason::kNoMinions, Verdict::kNotRun,
     [] {
       RouterFixture fixture({});
       return fixture.Submit(fixture.MakeRequest());
     }},
    {RefusalReason::kNoMinions, Verdict::kNotRun,
     [] {
       auto minion = MakeMinion(0, 1);
       minion.state = MinionState::kLeaving;
       RouterFixture fixture({minion});
       return fixture.Submit(fixture.MakeRequest());
     }},
    {RefusalReason::kAuthorityLapsed, Verdict::kNotRun,
     [] {
       RouterFixture fixture({MakeMinion(0, 1)});
       fixture.SetAuthority(Ms(50));
       fixture.clock.Advance(Ms(50));
       return fixture.Submit(fixture.MakeRequest());
     }},
    {RefusalReason::kQueueFull, Verdict::kNotRun,
     [] {
       RouterFixture fixture({MakeMinion(0, 1)}, SmallQueue(1));
       fixture.Submit(fixture.MakeRequest());
       fixture.Submit(fixture.MakeRequest());
       auto other = fixture.MakeRequest();
       other.team = TeamId("u");
       return fixture.Submit(other);
     }},
    {RefusalReason::kTeamQueueShare, Verdict::kNotRun,
     [] {
       RouterFixture fixture({MakeMinion(0, 1)}, SmallQueue(2));
       fixture.Submit(fixture.MakeRequest());
       fixture.Submit(fixture.MakeRequest());
       fixture.Submit(fixture.MakeRequest());
       return fixture.Submit(fixture.MakeRequest());
     }},
    {RefusalReason::kDisplaced, Verdict::kNotRun,
     [] {
       RouterFixture fixture({MakeMinion(0, 1)}, SmallQueue(2));
       fixture.Submit(fixture.MakeRequest());
       fixture.Submit(fixture.MakeRequest());
       fixture.Submit(fixture.MakeRequest());
       auto other = fixture.MakeRequest();
       other.team = TeamId("u");
       return fixture.Submit(other);
     }},
    {RefusalReason::kMinionRefused, Verdict::kNotRun,
     [] { return CompleteFirst(Outcome{.verdict = Verdict::kNotRun}); }},
    {RefusalReason::kAnswerLost, Verdict::kMayHaveRun,
     [] { return CompleteFirst(Outcome{}); }},
    {RefusalReason::kAnswerTruncated, Verdict::kRan,
     [] {
       return CompleteFirst(
           Outcome{.verdict = Verdict::kRan, .status = 200, .truncated = true});
     }},
    {RefusalReason::kAnswerTimeout, Verdict::kMayHaveRun,
     [] {
       RouterFixture fixture({MakeMinion(0, 1)});
       fixture.Submit(fixture.MakeRequest());
       fixture.clock.Advance(std::chrono::seconds(1));
       return fixture.Expire();
     }},
};

// Guards against a refusal with the wrong reason, and against the verdict
// "not run" for a request that a minion may have received.
BOOST_DATA_TEST_CASE(RefusesWithReasonAndVerdict, data::make(kRefusals), test) {
  const auto actions = test.run();
  const auto* refuse = FindAction<Refuse>(actions);
  BOOST_REQUIRE((refuse != nullptr));
  BOOST_TEST(refuse->reason == test.reason);
  BOOST_TEST(refuse->refusal.verdict == test.verdict);
  BOOST_TEST(refuse->refusal.reason == ToText(test.reason));
}

struct RetryCase {
  Outcome outcome;
  bool idempotent = false;
  std::optional<RetryReason> retry;
};

auto operator<<(std::ostream& out, const RetryCase& test) -> std::ostream& {
  return out << test.outcome.verdict << " " << test.outcome.status
             << (test.idempotent ? " idempotent" : "");
}

const Outcome kRefused{.verdict = Verdict::kNotRun};
const Outcome kLost{.verdict = Verdict::kMayHaveRun};
const Outcome kFailed{.verdict = Verdict::kRan, .status = 500};
const Outcome kTruncated{.verdict = Verdict::kRan,
                         .status = 200,
                         .truncated = true};
const std::vector<RetryCase> kRetries = {
    {kRefused, false, RetryReason::kNotRun},
    {kRefused, true, RetryReason::kNotRun},
    {kLost, false, std::nullopt},
    {kLost, true, RetryReason::kLost},
    {kFailed, false, std::nullopt},
    {kFailed, true, RetryReason::kFailed},
    {kTruncated, false, std::nullopt},
    {kTruncated, true, RetryReason::kTruncated},
    {SuccessfulOutcome(), true, std::nullopt},
};

// Guards against running a non-idempotent request twice, and against a retry at
// the minion that has just failed.
BOOST_DATA_TEST_CASE(RetriesOnlyWhenSafe, data::make(kRetries), test) {
  RouterFixture fixture({MakeMinion(0, 1), MakeMinion(1, 1)});
  auto request = fixture.MakeRequest();
  request.idempotent = test.idempotent;
  const auto first = fixture.Submit(request);
  const auto sent = *FindAction<Dispatch>(first);
  const auto actions = fixture.Complete(sent.attempt, test.outcome);
  const auto* again = FindAction<Dispatch>(actions);
  BOOST_TEST((again != nullptr) == test.retry.has_value());
  if (again != nullptr) {
    BOOST_TEST((again->retry == test.retry));
    BOOST_TEST(again->minion != sent.minion);
    BOOST_TEST(fixture.metrics.Value("routing_retries_total",
                                     std::string(ToText(*test.retry))) == 1U);
  }
}

// Guards against overloading a minion whose response timed out but which still
// processes the request.
BOOST_AUTO_TEST_CASE(UnknownOutcomeHoldsSlotUntilLateCompletion) {
  RouterFixture fixture({MakeMinion(0, 1)});
  const auto first = fixture.Submit(fixture.MakeRequest());
  const auto attempt = FindAction<Dispatch>(first)->attempt;
  fixture.clock.Advance(std::chrono::seconds(1));
  fixture.Expire();
  BOOST_TEST(fixture.router.InUse(MinionId("m0")) == 1);
  const auto second =
      fixture.Submit(fixture.MakeRequest(std::chrono::seconds(5)));
  BOOST_TEST((FindAction<Queue>(second) != nullptr));
  const auto late = fixture.Complete(attempt, SuccessfulOutcome());
  BOOST_TEST((FindAction<Answer>(late) == nullptr));
  BOOST_TEST((FindAction<Dispatch>(late) != nullptr));
  BOOST_TEST(fixture.metrics.Value("routing_late_answers_total") == 1U);
}

// Guards against a slot that is never released.
BOOST_AUTO_TEST_CASE(UnknownOutcomeReleasesSlotAtMaxDeadline) {
  RouterFixture fixture({MakeMinion(0, 1)});
  fixture.Submit(fixture.MakeRequest());
  fixture.clock.Advance(std::chrono::seconds(1));
  fixture.Expire();
  fixture.clock.Advance(std::chrono::seconds(29) - Ms(1));
  fixture.Expire();
  BOOST_TEST(fixture.router.InUse(MinionId("m0")) == 1);
  fixture.clock.Advance(Ms(1));
  fixture.Expire();
  BOOST_TEST(fixture.router.InUse(MinionId("m0")) == 0);
}

// Guards against overloading a minion that still processes requests of the
// previous owner of its group.
BOOST_AUTO_TEST_CASE(ReservedSlotsStayFreeUntilReserveExpires) {
  RouterFixture fixture({MakeMinion(0, 2)});
  const auto now = fixture.clock.Now();
  fixture.router.SetGroup(MinionGroup{.id = ResourceId("g"),
                                      .authority_until = now + kFarFuture,
                                      .reserved_slots = 1,
                                      .reserved_connections = 1,
                                      .reserved_until = now + Ms(50)},
                          now);
  fixture.Submit(fixture.MakeRequest());
  const auto second = fixture.Submit(fixture.MakeRequest());
  BOOST_TEST((FindAction<Queue>(second) != nullptr));
  fixture.clock.Advance(Ms(50));
  BOOST_TEST((FindAction<Dispatch>(fixture.Expire()) != nullptr));
}

// Guards against an abandoned request that releases its slot too early, or
// whose response is still returned.
BOOST_AUTO_TEST_CASE(AbandonedRequestHoldsSlotUntilCompletion) {
  RouterFixture fixture({MakeMinion(0, 1)});
  const auto request = fixture.MakeRequest();
  const auto sent = fixture.Submit(request);
  const auto queued = fixture.MakeRequest();
  fixture.Submit(queued);
  BOOST_TEST(fixture.router.Abandon(request.id));
  BOOST_TEST(fixture.router.Abandon(queued.id));
  BOOST_TEST(!fixture.router.Abandon(queued.id));
  BOOST_TEST(fixture.router.InProgress() == 0U);
  BOOST_TEST(fixture.router.InUse(MinionId("m0")) == 1);
  const auto late = fixture.Complete(FindAction<Dispatch>(sent)->attempt,
                                     SuccessfulOutcome());
  BOOST_TEST(late.empty());
  BOOST_TEST(fixture.router.InUse(MinionId("m0")) == 0);
  BOOST_TEST(fixture.metrics.Value("routing_late_answers_total") == 1U);
}

}  // namespace
}  // namespace shallotbank::routing
