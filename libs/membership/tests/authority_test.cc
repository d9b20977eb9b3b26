#include "membership/authority.h"

#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>

#include "rapidcheck_settings.h"
#include "reference_membership.h"

namespace shallotbank::membership {
namespace {

BOOST_TEST_GLOBAL_FIXTURE(RapidCheckSettings);

constexpr TimePoint kStart{std::chrono::hours(1)};

auto At(int milliseconds) -> TimePoint {
  return kStart + std::chrono::milliseconds(milliseconds);
}

auto Witness(int number) -> WitnessId {
  return WitnessId("w" + std::to_string(number));
}

auto Witnesses(int count) -> std::vector<WitnessId> {
  std::vector<WitnessId> list;
  for (int k = 0; k < count; ++k) {
    list.push_back(Witness(k));
  }
  return list;
}

auto Confirm(Authority& authority, int witness, int sent, int now) -> void {
  authority.ConfirmByWitness(Witness(witness), 7, At(sent), At(now));
}

// Guards against an authority that is counted from the arrival of an answer.
BOOST_AUTO_TEST_CASE(CountsFromTheSendTimeOfTheMajority) {
  Authority authority(7, Witnesses(5), false);
  BOOST_TEST(!authority.MayAct(kStart));
  Confirm(authority, 0, 100, 900);
  Confirm(authority, 1, 300, 900);
  BOOST_TEST(!authority.MayAct(At(900)));
  Confirm(authority, 2, 200, 900);
  BOOST_TEST((authority.ValidUntil() == At(3100)));
  Confirm(authority, 0, 250, 950);
  BOOST_TEST((authority.ValidUntil() == At(3200)));
  authority.ConfirmByLog(7, At(500));
  BOOST_TEST((authority.ValidUntil() == At(3500)));
  BOOST_TEST(authority.MayAct(At(3499)));
  BOOST_TEST(!authority.MayAct(At(3500)));
}

// Guards against a new owner that starts the work of an unreached witness while
// the previous owner may still act, or that waits although all are reached.
BOOST_AUTO_TEST_CASE(NewOwnerWaitsWhileAWitnessIsUnreached) {
  Authority authority(7, Witnesses(3), true);
  authority.ConfirmByLog(7, At(0));
  BOOST_TEST(!authority.MayAct(At(10)));
  Confirm(authority, 0, 10, 20);
  Confirm(authority, 1, 10, 30);
  BOOST_TEST(authority.MayAct(At(30)));
  BOOST_TEST(!authority.MayStartContested(At(30)));
  authority.ConfirmByLog(7, At(3000));
  const auto end = At(30) + kAuthorityDuration + kClockDriftMargin;
  BOOST_TEST(!authority.MayStartContested(end - Duration(1)));
  BOOST_TEST(authority.MayStartContested(end));
  Confirm(authority, 2, 40, 50);
  BOOST_TEST(authority.MayStartContested(At(50)));
}

// Guards against a removed witness that counts as reached.
BOOST_AUTO_TEST_CASE(RemovedWitnessStaysUnreached) {
  Authority authority(7, Witnesses(3), true);
  Confirm(authority, 0, 10, 20);
  Confirm(authority, 1, 10, 30);
  authority.RemoveWitness(Witness(2));
  BOOST_TEST(authority.UnreachedCount() == 1U);
  BOOST_TEST(!authority.MayStartContested(At(30)));
}

// Guards against an owner that acts after it has seen a higher epoch, and
// against counting answers at another epoch.
BOOST_AUTO_TEST_CASE(HigherEpochEndsTheAuthority) {
  Authority authority(7, Witnesses(1), false);
  authority.ConfirmByLog(6, At(0));
  authority.ConfirmByWitness(Witness(0), 6, At(0), At(1));
  BOOST_TEST(!authority.MayAct(At(1)));
  authority.ConfirmByLog(7, At(0));
  BOOST_TEST(authority.MayAct(At(1)));
  authority.ConfirmByWitness(Witness(0), 8, At(2), At(3));
  authority.ConfirmByLog(7, At(4));
  BOOST_TEST(authority.IsSuperseded());
  BOOST_TEST(!authority.MayAct(At(5)));
}

// Guards against an incremental result that differs from a full recomputation.
BOOST_AUTO_TEST_CASE(EqualsTheReferenceRecomputation) {
  const bool ok = rc::check([] {
    const int count = *rc::gen::inRange(1, 8);
    const bool previous_owner = *rc::gen::arbitrary<bool>();
    Authority authority(7, Witnesses(count), previous_owner);
    ReferenceAuthority reference{.witnesses = count,
                                 .has_previous_owner = previous_owner};
    int now = 0;
    const int steps = *rc::gen::inRange(1, 40);
    for (int step = 0; step < steps; ++step) {
      now += *rc::gen::inRange(0, 800);
      const int sent = now - *rc::gen::inRange(0, 1500);
      const int witness = *rc::gen::inRange(0, count);
      switch (*rc::gen::inRange(0, 24)) {
        case 0:
          authority.ConfirmByLog(7, At(sent));
          reference.log_reads.push_back(At(sent));
          break;
        case 1:
          authority.ConfirmByLog(6, At(sent));
          break;
        case 2:
          if (step > 20) {
            authority.ConfirmByLog(9, At(sent));
            reference.superseded = true;
          }
          break;
        default:
          Confirm(authority, witness, sent, now);
          reference.answers.push_back({witness, At(sent), At(now)});
      }
      RC_ASSERT(authority.ValidUntil() == reference.ValidUntil());
    }
  });
  BOOST_TEST(ok);
}

}  // namespace
}  // namespace shallotbank::membership
