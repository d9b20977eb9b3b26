#include "membership/peer_table.h"

#include <rapidcheck.h>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "rapidcheck_settings.h"
#include "reference_membership.h"

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

auto MakeHeartbeat(int number, std::uint64_t incarnation = 1, Offset head = 0)
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
  Offset peer_head = 0;     // The local head is 10.
  int peer_log_age = 9000;  // Milliseconds.
  bool first_answers = true;
  bool second_answers = true;
};

auto operator<<(std::ostream& out, const ViewCase& test) -> std::ostream& {
  return out << test.name;
}

const std::vector<ViewCase> kViewCases = {
    {"own read recent", FreshnessKind::kFresh, 1999, 20, 0},
    {"peer ahead", FreshnessKind::kReadFromPeer, 2000, 20, 0},
    {"peer ahead, log down", FreshnessKind::kReadFromPeer, 2000, 20, 9000},
    {"peer read the log, not ahead", FreshnessKind::kFresh, 5000, 10, 100},
    {"log down for all", FreshnessKind::kLogDownForAll, 5000, 10, 9000},
    {"one silent", FreshnessKind::kLogDownForReachable, 5000, 10, 9000, true,
     false},
    {"isolated for a short time", FreshnessKind::kFresh, 2999, 10, 9000, false,
     false},
    {"isolated", FreshnessKind::kIsolated, 3000, 10, 9000, false, false},
};

// Guards against keyed work on a stale view, and against refusals while no
// process can read the log.
BOOST_DATA_TEST_CASE(ClassifiesViewFreshness, data::make(kViewCases), test) {
  PeerTable table(Id(0));
  const auto now = kStart + Ms(20000);
  table.LogRead(now - Ms(test.own_age), 10);
  table.AddPeer(MakeHeartbeat(1).from, kStart);
  table.AddPeer(MakeHeartbeat(2).from, kStart);
  auto first = MakeHeartbeat(1, 1, test.peer_head);
  first.log_age = Ms(test.peer_log_age);
  if (test.first_answers) {
    table.ReceiveAnswer(first, now, now);
  }
  if (test.second_answers) {
    table.ReceiveAnswer(MakeHeartbeat(2, 1, 5), now, now);
  }
  const auto view = table.ViewFreshness(now);
  BOOST_TEST(view.kind == test.kind);
  BOOST_TEST(view.peer.IsEmpty() ==
             (test.kind != FreshnessKind::kReadFromPeer));
}

// Guards against relying on the log age of a heartbeat that was delayed.
BOOST_AUTO_TEST_CASE(DelayedHeartbeatDoesNotMakeTheViewFresh) {
  PeerTable table(Id(0));
  auto heartbeat = MakeHeartbeat(1);
  heartbeat.log_age = Ms(0);
  table.Receive(heartbeat, kStart);
  BOOST_TEST(table.ViewFreshness(kStart).kind == FreshnessKind::kLogDownForAll);
  table.ReceiveAnswer(heartbeat, kStart - Ms(1900), kStart);
  BOOST_TEST(table.ViewFreshness(kStart).kind == FreshnessKind::kFresh);
  BOOST_TEST(table.ViewFreshness(kStart + Ms(100)).kind ==
             FreshnessKind::kLogDownForAll);
}

// Guards against a restarted process that is mistaken for its earlier
// incarnation, at the same id or at the same address.
BOOST_AUTO_TEST_CASE(NewIncarnationReplacesTheOld) {
  PeerTable table(Id(0));
  BOOST_TEST(table.Receive(MakeHeartbeat(1, 5, 30), kStart));
  table.MarkDeparted(Id(1));
  BOOST_TEST(!table.Receive(MakeHeartbeat(1, 5, 31), kStart));
  BOOST_TEST(table.Receive(MakeHeartbeat(1, 6, 2), kStart));
  BOOST_TEST(table.Find(Id(1))->head == 2U);
  BOOST_TEST(!table.Receive(MakeHeartbeat(1, 5, 99), kStart));
  auto successor = MakeHeartbeat(2, 7);
  successor.from.addresses = MakeHeartbeat(1).from.addresses;
  BOOST_TEST(table.Receive(successor, kStart));
  BOOST_TEST((table.State(Id(1), kStart) == PeerState::kDeparted));
  BOOST_TEST(!table.Receive(MakeHeartbeat(1, 6), kStart));
  auto older = MakeHeartbeat(3, 4);
  older.from.addresses = MakeHeartbeat(1).from.addresses;
  BOOST_TEST(!table.Receive(older, kStart));
}

// Guards against an unresponsive connection that is not detected.
BOOST_AUTO_TEST_CASE(DetectsUnresponsiveConnections) {
  PeerTable table(Id(0));
  table.Receive(MakeHeartbeat(1), kStart);
  BOOST_TEST(table.DueHeartbeats(kStart).size() == 1U);
  table.RecordHeartbeatSent(Id(1), kStart);
  BOOST_TEST(table.DueHeartbeats(kStart + Ms(249)).empty());
  BOOST_TEST(table.DueHeartbeats(kStart + Ms(250)).size() == 1U);
  table.RecordHeartbeatSent(Id(1), kStart + Ms(250));
  table.ReceiveAnswer(MakeHeartbeat(1), kStart, kStart + Ms(300));
  // A heartbeat from the peer does not prove that the connection to it works.
  table.Receive(MakeHeartbeat(1), kStart + Ms(1200));
  BOOST_TEST(table.UnresponsiveConnections(kStart + Ms(1249)).empty());
  BOOST_TEST(table.UnresponsiveConnections(kStart + Ms(1250)).size() == 1U);
  table.ConnectionReplaced(Id(1));
  BOOST_TEST(table.UnresponsiveConnections(kStart + Ms(1250)).empty());
}

// Guards against a number of watched peers that grows with the cell, and
// against a failed peer that hides the live ones behind it on the ring.
BOOST_AUTO_TEST_CASE(WatchesSuccessorsInALargeRing) {
  PeerTable table(Id(10));
  for (int k = 0; k < 17; ++k) {
    table.AddPeer(MakeHeartbeat(k).from, kStart);
  }
  BOOST_TEST(table.WatchedPeers(kStart).size() == 16U);
  table.AddPeer(MakeHeartbeat(17).from, kStart);
  BOOST_TEST((table.WatchedPeers(kStart) ==
              std::vector<ProcessId>{Id(11), Id(12), Id(13)}));
  table.RecordHeartbeatSent(Id(12), kStart);
  const auto later = kStart + Ms(1000);
  BOOST_TEST((table.State(Id(12), later) == PeerState::kSuspected));
  BOOST_TEST((table.State(Id(5), later) == PeerState::kAlive));
  BOOST_TEST((table.WatchedPeers(later) ==
              std::vector<ProcessId>{Id(11), Id(12), Id(13), Id(14)}));
}

// Guards against a suspicion that does not spread around the ring, and against
// a recovery that an older suspicion reverts.
BOOST_AUTO_TEST_CASE(SuspicionAndRecoverySpread) {
  PeerTable watcher(Id(0));
  PeerTable relay(Id(10));
  PeerTable far(Id(15));
  for (auto* table : {&watcher, &relay, &far}) {
    for (int k = 0; k < 20; ++k) {
      table->AddPeer(MakeHeartbeat(k).from, kStart);
    }
  }
  const auto send_heartbeat = [](const PeerTable& from, int id, PeerTable& to,
                                 TimePoint now) {
    auto heartbeat = MakeHeartbeat(id);
    heartbeat.observations = from.Observations(now);
    to.Receive(heartbeat, now);
  };
  watcher.RecordHeartbeatSent(Id(1), kStart + Ms(100));
  const auto later = kStart + Ms(1200);
  send_heartbeat(watcher, 0, relay, later);
  send_heartbeat(relay, 10, far, later);
  BOOST_TEST((far.State(Id(1), later) == PeerState::kSuspected));
  watcher.Receive(MakeHeartbeat(1), later);
  send_heartbeat(watcher, 0, relay, later);
  BOOST_TEST((relay.State(Id(1), later) == PeerState::kAlive));
  send_heartbeat(far, 15, relay, later);
  BOOST_TEST((relay.State(Id(1), later) == PeerState::kAlive));
  send_heartbeat(relay, 10, far, later + Ms(2000));
  BOOST_TEST((far.State(Id(1), later + Ms(2000)) == PeerState::kAlive));
}

// Guards against a state that differs from the one recomputed from all
// heartbeats and reports.
BOOST_AUTO_TEST_CASE(EqualsTheReferenceRecomputation) {
  const bool ok = rc::check([] {
    PeerTable table(Id(0));
    ReferencePeers reference;
    auto now = kStart;
    for (int step = 0; step < 60; ++step) {
      now += Ms(*rc::gen::inRange(0, 500));
      const int number = *rc::gen::inRange(1, 5);
      const auto* known = table.Find(Id(number));
      const auto incarnation = *rc::gen::inRange<std::uint64_t>(1, 3) +
                               static_cast<std::uint64_t>(step / 20);
      switch (*rc::gen::inRange(0, 8)) {
        case 0:
          table.MarkHostDeparted("h" + std::to_string(number));
          if (known != nullptr) {
            reference.departed_incarnations[number] = known->info.incarnation;
          }
          break;
        case 1: {
          const auto age = Ms(*rc::gen::inRange(0, 1500));
          const bool current =
              known != nullptr && known->info.incarnation == incarnation;
          auto heartbeat = MakeHeartbeat(6);
          heartbeat.observations = {{Id(number), incarnation, age, false}};
          table.Receive(heartbeat, now);
          if (current) {
            reference.contacts.push_back({number, incarnation, now - age});
          }
          break;
        }
        default:
          const bool departed =
              reference.State(number, now) == PeerState::kDeparted;
          const bool newer =
              known == nullptr || incarnation > known->info.incarnation;
          const bool same =
              !newer && !departed && incarnation == known->info.incarnation;
          RC_ASSERT(table.Receive(MakeHeartbeat(number, incarnation), now) ==
                    (newer || same));
          if (newer || same) {
            reference.contacts.push_back({number, incarnation, now});
          }
      }
      for (int peer = 1; peer < 5; ++peer) {
        RC_ASSERT(table.State(Id(peer), now) == reference.State(peer, now));
      }
    }
  });
  BOOST_TEST(ok);
}

}  // namespace
}  // namespace shallotbank::membership
