#include "queueing/fair_queue.h"

#include <boost/test/unit_test.hpp>

namespace shallotbank::queueing {
namespace {

using std::chrono::seconds;

const TimePoint kStart{std::chrono::hours(1)};

auto Cores(std::int64_t cores) -> Resources {
  return {cores * 1000, cores * 1024, 0};
}

auto MakeJob(const std::string& id,
             const std::string& team,
             std::int64_t cores,
             std::int64_t tasks = 1) -> QueuedJob {
  QueuedJob job;
  job.id = JobId(id);
  job.team = TeamId(team);
  job.profile = ProfileName("grind");
  job.need = Cores(cores);
  job.tasks = tasks;
  job.submitted = kStart;
  return job;
}

// Two organisations of equal weight; "a" has teams a1 and a2, "b" has b1.
auto MakePolicy() -> QueuePolicy {
  QueuePolicy policy;
  policy.capacity = Cores(100);
  policy.organisations = {
      {OrganisationId("a"), 1, {{TeamId("a1"), 1}, {TeamId("a2"), 1}}},
      {OrganisationId("b"), 1, {{TeamId("b1"), 1}}}};
  return policy;
}

auto MakeQueue(const QueuePolicy& policy = MakePolicy()) -> FairQueue {
  FairQueue queue;
  BOOST_REQUIRE(queue.SetPolicy(policy));
  return queue;
}

auto NextId(FairQueue& queue, TimePoint now = kStart) -> std::string {
  const auto candidate = queue.Next(now);
  return candidate ? candidate->job.Text() : "";
}

auto Why(const FairQueue& queue, const std::string& id) -> WaitingReason {
  return queue.WhyWaiting(JobId(id), kStart).value();
}

// Guards against starts that the limit no longer covers after it was lowered
// below the team's use, including a repeated start.
BOOST_AUTO_TEST_CASE(LoweredLimitStopsStartsOnly) {
  auto queue = MakeQueue();
  BOOST_REQUIRE(queue.Add(MakeJob("j", "a1", 10, 5)));
  BOOST_TEST(queue.Started(JobId("j"), kStart));
  BOOST_TEST(queue.Started(JobId("j"), kStart));
  BOOST_TEST(queue.SetLimit(TeamId("a1"), {Cores(15), 10}));
  BOOST_TEST(!queue.Started(JobId("j"), kStart));
  BOOST_TEST(NextId(queue).empty());
  BOOST_TEST(Why(queue, "j") == WaitingReason::kTeamAtLimit);
  BOOST_TEST(queue.Ended(JobId("j"), TaskEnd::kFinished));
  BOOST_TEST(NextId(queue).empty());
  BOOST_TEST(queue.Ended(JobId("j"), TaskEnd::kFinished));
  BOOST_TEST(NextId(queue) == "j");
  queue.SetUnconfirmedUse(TeamId("a1"), {Cores(10), 1});
  BOOST_TEST(NextId(queue).empty());
  BOOST_TEST(queue.SetLimit(TeamId("a1"), {Cores(5), 10}));
  BOOST_TEST(Why(queue, "j") == WaitingReason::kExceedsLimit);
}

// Guards against a blocked shape that is offered again in the same pass, or
// that delays smaller work.
BOOST_AUTO_TEST_CASE(BlockedShapeIsSkippedUntilRoomIsFreed) {
  auto queue = MakeQueue();
  BOOST_REQUIRE(queue.Add(MakeJob("big1", "a1", 40)));
  BOOST_REQUIRE(queue.Add(MakeJob("bigger", "a2", 60)));
  BOOST_REQUIRE(queue.Add(MakeJob("big2", "b1", 40)));
  BOOST_REQUIRE(queue.Add(MakeJob("small", "b1", 1)));
  BOOST_TEST(NextId(queue) == "big1");
  queue.Blocked(JobId("big1"), BlockReason::kNoRoom);
  BOOST_TEST(NextId(queue) == "small");
  BOOST_TEST(Why(queue, "big2") == WaitingReason::kNoRoom);
  BOOST_TEST(Why(queue, "bigger") == WaitingReason::kNoRoom);
  BOOST_TEST(queue.Started(JobId("small"), kStart));
  BOOST_TEST(NextId(queue).empty());
  BOOST_TEST(queue.Ended(JobId("small"), TaskEnd::kFinished));
  BOOST_TEST(NextId(queue) == "big1");
}

// Guards against a job that failed on all workers and blocks other jobs of its
// shape.
BOOST_AUTO_TEST_CASE(JobBlockedAloneDoesNotBlockItsShape) {
  auto queue = MakeQueue();
  BOOST_REQUIRE(queue.Add(MakeJob("poisoned", "a1", 4)));
  BOOST_REQUIRE(queue.Add(MakeJob("healthy", "a1", 4)));
  BOOST_TEST(NextId(queue) == "poisoned");
  queue.Blocked(JobId("poisoned"), BlockReason::kJobOnly);
  BOOST_TEST(NextId(queue) == "healthy");
  BOOST_TEST(Why(queue, "poisoned") == WaitingReason::kNoRoom);
}

// Guards against a gang that starts only partly, or starves behind smaller
// work.
BOOST_AUTO_TEST_CASE(OvertakenGangIsDueAReservation) {
  auto queue = MakeQueue();
  auto gang = MakeJob("gang", "a1", 4, 10);
  gang.is_gang = true;
  BOOST_REQUIRE(queue.Add(gang));
  BOOST_REQUIRE(queue.Add(MakeJob("small", "b1", 1, 100)));
  BOOST_TEST(queue.Next(kStart)->shape.tasks == 10);
  queue.Blocked(JobId("gang"), BlockReason::kNoRoom);
  BOOST_TEST(!queue.ReservationDue(kStart + seconds(60)));
  BOOST_TEST(queue.Started(JobId("small"), kStart));
  BOOST_TEST(!queue.ReservationDue(kStart + seconds(29)));
  BOOST_TEST((queue.ReservationDue(kStart + seconds(30)) == JobId("gang")));
  queue.SetReserved(JobId("unknown"));
  BOOST_TEST((queue.ReservationDue(kStart + seconds(30)) == JobId("gang")));
  queue.SetReserved(JobId("gang"));
  BOOST_TEST(!queue.ReservationDue(kStart + seconds(30)));
  BOOST_TEST(Why(queue, "gang") == WaitingReason::kHoldsReservation);
  BOOST_TEST(queue.Ended(JobId("small"), TaskEnd::kFinished));
  BOOST_TEST(queue.Next(kStart)->holds_reservation);
  BOOST_TEST(queue.Started(JobId("gang"), kStart));
  BOOST_TEST(queue.Shares()[0].running.tasks == 10);
}

// Guards against a team with large tasks that stays below its share because
// small tasks of other teams occupy each core as it is freed.
BOOST_AUTO_TEST_CASE(OvertakenJobBelowShareIsDueAtOnce) {
  auto queue = MakeQueue();
  BOOST_REQUIRE(queue.Add(MakeJob("large", "a1", 8)));
  BOOST_REQUIRE(queue.Add(MakeJob("small", "b1", 1)));
  queue.Blocked(JobId("large"), BlockReason::kNoRoom);
  BOOST_TEST(!queue.ReservationDue(kStart));
  BOOST_TEST(queue.Started(JobId("small"), kStart));
  BOOST_TEST((queue.ReservationDue(kStart) == JobId("large")));
}

// Guards against wrong or changing outcomes of a repeated cancellation.
BOOST_AUTO_TEST_CASE(CancellationIsIdempotentAndAccurate) {
  auto queue = MakeQueue();
  for (const auto* id : {"waiting", "running", "done", "refused"}) {
    BOOST_REQUIRE(queue.Add(MakeJob(id, "a1", 1)));
  }
  for (const auto* id : {"running", "done", "refused"}) {
    BOOST_TEST(queue.Started(JobId(id), kStart));
  }
  BOOST_TEST(queue.Ended(JobId("done"), TaskEnd::kFinished));
  for (int k = 0; k < 2; ++k) {
    BOOST_TEST(queue.Cancel(JobId("waiting")) == CancelOutcome::kNotStarted);
    BOOST_TEST(queue.Cancel(JobId("running")) == CancelOutcome::kStopping);
    BOOST_TEST(queue.Cancel(JobId("refused")) == CancelOutcome::kStopping);
    BOOST_TEST(queue.Cancel(JobId("done")) == CancelOutcome::kFinished);
    BOOST_TEST(queue.Cancel(JobId("other")) == CancelOutcome::kUnknown);
  }
  BOOST_TEST(queue.Ended(JobId("running"), TaskEnd::kFailed));
  BOOST_TEST(queue.Ended(JobId("refused"), TaskEnd::kReturned));
  BOOST_TEST(queue.Cancel(JobId("running")) == CancelOutcome::kFinished);
  BOOST_TEST(queue.Cancel(JobId("refused")) == CancelOutcome::kNotStarted);
  BOOST_TEST(NextId(queue).empty());
  BOOST_TEST(!queue.Add(MakeJob("waiting", "a1", 1)));
}

// Guards against urgent work that waits behind normal work, and against a team
// that marks everything urgent and so takes more than its share.
BOOST_AUTO_TEST_CASE(UrgentGoesFirstUpToItsAllowance) {
  auto queue = MakeQueue();
  BOOST_REQUIRE(queue.Add(MakeJob("normal", "a1", 1, 100)));
  auto urgent = MakeJob("urgent", "b1", 5, 100);
  urgent.is_urgent = true;
  urgent.submitted += seconds(1);
  BOOST_REQUIRE(queue.Add(urgent));
  // The allowance is half of b1's 50 cores.
  for (int k = 0; k < 5; ++k) {
    BOOST_TEST(Why(queue, "normal") == WaitingReason::kBehindUrgent);
    BOOST_TEST(NextId(queue) == "urgent");
    BOOST_TEST(queue.Started(JobId("urgent"), kStart));
  }
  BOOST_TEST(NextId(queue) == "normal");
  BOOST_TEST(Why(queue, "urgent") == WaitingReason::kOrganisationBehindOthers);
}

// Guards against work that starts after its start deadline.
BOOST_AUTO_TEST_CASE(ExpiredJobIsReportedOnceAndNeverOffered) {
  auto queue = MakeQueue();
  auto job = MakeJob("quote", "a1", 1);
  job.start_by = kStart + seconds(2);
  BOOST_REQUIRE(queue.Add(job));
  BOOST_TEST(NextId(queue) == "quote");
  BOOST_TEST(NextId(queue, kStart + seconds(2)).empty());
  BOOST_TEST(queue.TakeExpired(kStart + seconds(2)).size() == 1U);
  BOOST_TEST(queue.TakeExpired(kStart + seconds(2)).empty());
  BOOST_TEST(queue.Cancel(JobId("quote")) == CancelOutcome::kNotStarted);
}

// Guards against preemption of teams within their share, or without a blocked
// job that needs it.
BOOST_AUTO_TEST_CASE(PreemptionOnlyForUrgentOrStarvingWork) {
  auto queue = MakeQueue();
  BOOST_REQUIRE(queue.Add(MakeJob("borrower", "a1", 1, 100)));
  BOOST_TEST(queue.Adopt(JobId("borrower"), 100));
  auto urgent = MakeJob("urgent", "b1", 5);
  urgent.is_urgent = true;
  BOOST_REQUIRE(queue.Add(urgent));
  BOOST_TEST(!queue.AdvisePreemption(kStart));
  queue.Blocked(JobId("urgent"), BlockReason::kNoRoom);
  const auto advice = queue.AdvisePreemption(kStart);
  BOOST_REQUIRE(advice.has_value());
  BOOST_TEST(advice->victim == TeamId("a1"));
  BOOST_TEST(advice->preemptor == JobId("urgent"));
  BOOST_TEST(advice->amount == Cores(5));
}

// Guards against the loss of jobs whose team is temporarily not in the policy.
BOOST_AUTO_TEST_CASE(JobsWaitForTheirTeamToReturn) {
  auto queue = MakeQueue();
  BOOST_REQUIRE(queue.Add(MakeJob("j", "b1", 1)));
  auto without = MakePolicy();
  without.organisations.pop_back();
  BOOST_REQUIRE(queue.SetPolicy(without));
  BOOST_TEST(NextId(queue).empty());
  BOOST_TEST(Why(queue, "j") == WaitingReason::kTeamNotInPolicy);
  BOOST_REQUIRE(queue.SetPolicy(MakePolicy()));
  BOOST_TEST(NextId(queue) == "j");
}

}  // namespace
}  // namespace shallotbank::queueing
