#include "membership/peer_table.h"

#include <rapidcheck.h>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "naive_membership.h"
#include "rapidcheck_settings.h"

namespace shallotbank::membership {
namespace {

BOOST_TEST_GLOBAL_FIXTURE(RapidCheckSettings);

namespace data = boost::unit_test::data;

constexpr TimePoint kStart{std::chrono::hours(1)};

auto Ms(int milliseconds) -> Duration {
  return std::chrono::milliseconds(milliseconds);
}

auto Id(int number) -> ProcessId {
  return ProcessId("p" + std::to_string(100 + number));
}

auto Beat(int number, std::uint64_t incarnation = 1, Offset head = 0)
    -> Heartbeat {
  const auto text = std::to_string(number);
  return Heartbeat{.from = {.id = Id(number),
                            .incarnation = incarnation,
                            .host = "h" + text,
                            .addresses = {"10.0.0." + text + ":1"}},
                   .head = head,
                   .log_age = Duration::max()};
}

struct ViewCase {
  const char* name = "";
  FreshnessKind kind = FreshnessKind::kFresh;
  int own_age = 0;          // Milliseconds.
  Offset peer_head = 0;     // The own head is 10.
  int peer_log_age = 9000;  // Milliseconds.
  bool first_answers = true;
  bool second_answers = true;
};

auto operator<<(std::ostream& out, const ViewCase& test) -> std::ostream& {
  return out << test.name;
}

const std::vector<ViewCase> kViews = {
    {"own read recent", FreshnessKind::kFresh, 1999, 20, 0},
    {"peer ahead", FreshnessKind::kReadFromPeer, 2000, 20, 0},
    {"peer ahead, log down", FreshnessKind::kReadFromPeer, 2000, 20, 9000},
    {"peer read the log, not ahead", FreshnessKind::kFresh, 5000, 10, 100},
    {"log down for all", FreshnessKind::kLogDownForAll, 5000, 10, 9000},
    {"one silent", FreshnessKind::kLogDownForReachable, 5000, 10, 9000, true,
     false},
    {"cut off shortly", FreshnessKind::kFresh, 2999, 10, 9000, false, false},
    {"cut off", FreshnessKind::kIsolated, 3000, 10, 9000, false, false},
};

// Guards against keyed work on a stale view, and against refusals while the
// log is down for everybody.
BOOST_DATA_TEST_CASE(JudgesTheView, data::make(kViews), test) {
  PeerTable table(Id(0));
  const auto now = kStart + Ms(20000);
  table.LogRead(now - Ms(test.own_age), 10);
  table.Learn(Beat(1).from, kStart);
  table.Learn(Beat(2).from, kStart);
  auto first = Beat(1, 1, test.peer_head);
  first.log_age = Ms(test.peer_log_age);
  if (test.first_answers) {
    table.ReceiveAnswer(first, now, now);
  }
  if (test.second_answers) {
    table.ReceiveAnswer(Beat(2, 1, 5), now, now);
  }
  const auto view = table.ViewFreshness(now);
  BOOST_TEST(view.kind == test.kind);
  BOOST_TEST(view.peer.IsEmpty() ==
             (test.kind != FreshnessKind::kReadFromPeer));
}

// Guards against trust in the log age of a heartbeat that was delayed.
BOOST_AUTO_TEST_CASE(DelayedHeartbeatDoesNotMakeTheViewFresh) {
  PeerTable table(Id(0));
  auto beat = Beat(1);
  beat.log_age = Ms(0);
  table.Receive(beat, kStart);
  BOOST_TEST(table.ViewFreshness(kStart).kind == FreshnessKind::kLogDownForAll);
  table.ReceiveAnswer(beat, kStart - Ms(1900), kStart);
  BOOST_TEST(table.ViewFreshness(kStart).kind == FreshnessKind::kFresh);
  BOOST_TEST(table.ViewFreshness(kStart + Ms(100)).kind ==
             FreshnessKind::kLogDownForAll);
}

// Guards against a restarted process that is taken for its predecessor, at the
// same id or at the same address.
BOOST_AUTO_TEST_CASE(NewIncarnationReplacesTheOld) {
  PeerTable table(Id(0));
  BOOST_TEST(table.Receive(Beat(1, 5, 30), kStart));
  table.Leave(Id(1));
  BOOST_TEST(!table.Receive(Beat(1, 5, 31), kStart));
  BOOST_TEST(table.Receive(Beat(1, 6, 2), kStart));
  BOOST_TEST(table.Find(Id(1))->head == 2U);
  BOOST_TEST(!table.Receive(Beat(1, 5, 99), kStart));
  auto successor = Beat(2, 7);
  successor.from.addresses = Beat(1).from.addresses;
  BOOST_TEST(table.Receive(successor, kStart));
  BOOST_TEST((table.State(Id(1), kStart) == PeerState::kDeparted));
  BOOST_TEST(!table.Receive(Beat(1, 6), kStart));
  auto older = Beat(3, 4);
  older.from.addresses = Beat(1).from.addresses;
  BOOST_TEST(!table.Receive(older, kStart));
}

// Guards against a connection that is silent without being noticed.
BOOST_AUTO_TEST_CASE(NoticesSilentConnections) {
  PeerTable table(Id(0));
  table.Receive(Beat(1), kStart);
  BOOST_TEST(table.DueHeartbeats(kStart).size() == 1U);
  table.Sent(Id(1), kStart);
  BOOST_TEST(table.DueHeartbeats(kStart + Ms(249)).empty());
  BOOST_TEST(table.DueHeartbeats(kStart + Ms(250)).size() == 1U);
  table.Sent(Id(1), kStart + Ms(250));
  table.ReceiveAnswer(Beat(1), kStart, kStart + Ms(300));
  // Word that arrives by itself says nothing about the own connection.
  table.Receive(Beat(1), kStart + Ms(1200));
  BOOST_TEST(table.SilentConnections(kStart + Ms(1249)).empty());
  BOOST_TEST(table.SilentConnections(kStart + Ms(1250)).size() == 1U);
  table.ConnectionReplaced(Id(1));
  BOOST_TEST(table.SilentConnections(kStart + Ms(1250)).empty());
}

// Guards against a number of watched peers that grows with the fleet, and
// against a dead peer that hides the live ones behind it.
BOOST_AUTO_TEST_CASE(WatchesSuccessorsInALargeRing) {
  PeerTable table(Id(10));
  for (int k = 0; k < 17; ++k) {
    table.Learn(Beat(k).from, kStart);
  }
  BOOST_TEST(table.Watched(kStart).size() == 16U);
  table.Learn(Beat(17).from, kStart);
  BOOST_TEST((table.Watched(kStart) ==
              std::vector<ProcessId>{Id(11), Id(12), Id(13)}));
  table.Sent(Id(12), kStart);
  const auto later = kStart + Ms(1000);
  BOOST_TEST((table.State(Id(12), later) == PeerState::kSuspected));
  BOOST_TEST((table.State(Id(5), later) == PeerState::kAlive));
  BOOST_TEST((table.Watched(later) ==
              std::vector<ProcessId>{Id(11), Id(12), Id(13), Id(14)}));
}

// Guards against suspicion that does not travel round the ring, and against a
// recovery that an older suspicion undoes.
BOOST_AUTO_TEST_CASE(SuspicionAndRecoveryTravel) {
  PeerTable watcher(Id(0));
  PeerTable relay(Id(10));
  PeerTable far(Id(15));
  for (auto* table : {&watcher, &relay, &far}) {
    for (int k = 0; k < 20; ++k) {
      table->Learn(Beat(k).from, kStart);
    }
  }
  const auto tell = [](const PeerTable& from, int id, PeerTable& to,
                       TimePoint now) {
    auto beat = Beat(id);
    beat.hearings = from.Hearings(now);
    to.Receive(beat, now);
  };
  watcher.Sent(Id(1), kStart + Ms(100));
  const auto later = kStart + Ms(1200);
  tell(watcher, 0, relay, later);
  tell(relay, 10, far, later);
  BOOST_TEST((far.State(Id(1), later) == PeerState::kSuspected));
  watcher.Receive(Beat(1), later);
  tell(watcher, 0, relay, later);
  BOOST_TEST((relay.State(Id(1), later) == PeerState::kAlive));
  tell(far, 15, relay, later);
  BOOST_TEST((relay.State(Id(1), later) == PeerState::kAlive));
  tell(relay, 10, far, later + Ms(2000));
  BOOST_TEST((far.State(Id(1), later + Ms(2000)) == PeerState::kAlive));
}

// Guards against a state that differs from a recomputation from all heartbeats
// and reports.
BOOST_AUTO_TEST_CASE(EqualsTheNaiveRecomputation) {
  const bool ok = rc::check([] {
    PeerTable table(Id(0));
    NaivePeers naive;
    auto now = kStart;
    for (int step = 0; step < 60; ++step) {
      now += Ms(*rc::gen::inRange(0, 500));
      const int number = *rc::gen::inRange(1, 5);
      const auto* known = table.Find(Id(number));
      const auto incarnation = *rc::gen::inRange<std::uint64_t>(1, 3) +
                               static_cast<std::uint64_t>(step / 20);
      switch (*rc::gen::inRange(0, 8)) {
        case 0:
          table.LeaveHost("h" + std::to_string(number));
          if (known != nullptr) {
            naive.left[number] = known->info.incarnation;
          }
          break;
        case 1: {
          const auto age = Ms(*rc::gen::inRange(0, 1500));
          const bool current =
              known != nullptr && known->info.incarnation == incarnation;
          auto beat = Beat(6);
          beat.hearings = {{Id(number), incarnation, age, false}};
          table.Receive(beat, now);
          if (current) {
            naive.words.push_back({number, incarnation, now - age});
          }
          break;
        }
        default:
          const bool departed =
              naive.State(number, now) == PeerState::kDeparted;
          const bool newer =
              known == nullptr || incarnation > known->info.incarnation;
          const bool same =
              !newer && !departed && incarnation == known->info.incarnation;
          RC_ASSERT(table.Receive(Beat(number, incarnation), now) ==
                    (newer || same));
          if (newer || same) {
            naive.words.push_back({number, incarnation, now});
          }
      }
      for (int peer = 1; peer < 5; ++peer) {
        RC_ASSERT(table.State(Id(peer), now) == naive.State(peer, now));
      }
    }
  });
  BOOST_TEST(ok);
}

}  // namespace
}  // namespace shallotbank::membership
