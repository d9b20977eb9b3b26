#include <algorithm>
#include <vector>

#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>

#include "membership/authority.h"
#include "rapidcheck_settings.h"

namespace shallotbank::membership {
namespace {

BOOST_TEST_GLOBAL_FIXTURE(RapidCheckSettings);

constexpr Epoch kOldEpoch = 5;
constexpr Epoch kNewEpoch = 9;
constexpr TimePoint kStart{std::chrono::hours(1)};

struct Message {
  int owner = 0;
  int witness = -1;  // -1 is the log.
  int sent = 0;      // Milliseconds.
  int arrives_at = 0;
  int answer_arrives_at = 0;
  Epoch answered_epoch = 0;
  bool is_received = false;  // By the witness or the log.
};

/// Models two owners of one resource, its witnesses and the log in steps of
/// 50 ms, with random delays, message losses and pauses.
struct TakeoverModel {
  explicit TakeoverModel(int witnesses)
      : epochs(static_cast<std::size_t>(witnesses), kOldEpoch),
        owners{Authority(kOldEpoch, WitnessIds(witnesses), false),
               Authority(kNewEpoch, WitnessIds(witnesses), true)} {}

  static auto WitnessIds(int count) -> std::vector<WitnessId> {
    std::vector<WitnessId> names;
    for (int k = 0; k < count; ++k) {
      names.emplace_back("w" + std::to_string(k));
    }
    return names;
  }

  static auto At(int milliseconds) -> TimePoint {
    return kStart + std::chrono::milliseconds(milliseconds);
  }

  auto Send(int owner, int witness) -> void {
    if (*rc::gen::inRange(0, 10) < this->loss) {
      return;
    }
    const int arrival = this->now + *rc::gen::inRange(0, this->delay);
    const int answer_arrival = arrival + *rc::gen::inRange(0, this->delay);
    this->messages.push_back({.owner = owner,
                              .witness = witness,
                              .sent = this->now,
                              .arrives_at = arrival,
                              .answer_arrives_at = answer_arrival});
  }

  auto SendRound(int owner) -> void {
    if (!this->log_down && !(owner == 0 && this->old_owner_lost_log)) {
      this->Send(owner, -1);
    }
    for (int k = 0; k < static_cast<int>(this->epochs.size()); ++k) {
      if ((this->unreachable[owner] >> k & 1) == 0) {
        this->Send(owner, k);
      }
    }
  }

  auto Receive(Message& message) -> void {
    message.is_received = true;
    if (message.witness < 0) {
      message.answered_epoch =
          this->now >= this->claimed_at ? kNewEpoch : kOldEpoch;
      return;
    }
    auto& epoch = this->epochs[static_cast<std::size_t>(message.witness)];
    epoch = std::max(epoch, message.owner == 0 ? kOldEpoch : kNewEpoch);
    message.answered_epoch = epoch;
  }

  auto DeliverAnswer(const Message& message) -> void {
    auto& owner = this->owners[message.owner];
    if (message.witness < 0) {
      owner.ConfirmByLog(message.answered_epoch, At(message.sent));
    } else {
      owner.ConfirmByWitness(WitnessId("w" + std::to_string(message.witness)),
                             message.answered_epoch, At(message.sent),
                             At(this->now));
    }
  }

  /// Runs one step. A paused owner neither sends nor processes answers; they
  /// are delivered when it resumes.
  auto Step() -> void {
    for (int owner = 0; owner < 2; ++owner) {
      if (this->now < this->paused_until[owner]) {
        continue;
      }
      if (*rc::gen::inRange(0, 40) == 0) {
        this->paused_until[owner] = this->now + *rc::gen::inRange(50, 4000);
        continue;
      }
      if (owner == 0 || this->now >= this->claimed_at) {
        this->SendRound(owner);
      }
    }
    for (auto& message : this->messages) {
      if (!message.is_received && message.arrives_at <= this->now) {
        this->Receive(message);
      }
      if (message.is_received && message.answer_arrives_at <= this->now &&
          this->now >= this->paused_until[message.owner]) {
        this->DeliverAnswer(message);
        message.answer_arrives_at = 1 << 30;
      }
    }
    std::erase_if(this->messages, [](const Message& message) {
      return message.answer_arrives_at == 1 << 30;
    });
    this->now += 50;
  }

  auto HasUnreachedWitness() const -> bool {
    return std::any_of(this->epochs.begin(), this->epochs.end(),
                       [](Epoch epoch) { return epoch < kNewEpoch; });
  }

  std::vector<Epoch> epochs;  // Highest epoch that each witness has seen.
  Authority owners[2];
  int paused_until[2] = {0, 0};
  std::vector<Message> messages;
  int now = 0;
  int claimed_at = 0;
  int delay = 1;
  int loss = 0;
  int unreachable[2] = {0, 0};  // Bit k: the owner cannot reach witness k.
  bool log_down = false;
  bool old_owner_lost_log = false;
};

// Guards against two owners that may start the same work at the same time: the
// old one through a witness that the new one has not reached. Fails if the new
// owner does not wait after it has reached its majority.
BOOST_AUTO_TEST_CASE(NeverTwoOwnersForWorkOfAnUnreachedWitness) {
  int new_acted_alone = 0;
  int old_acted = 0;
  const bool ok = rc::check([&] {
    TakeoverModel model(*rc::gen::inRange(1, 8));
    model.claimed_at = 50 * *rc::gen::inRange(0, 40);
    model.delay = *rc::gen::element(20, 200, 1500);
    model.loss = *rc::gen::inRange(0, 4);
    model.old_owner_lost_log = *rc::gen::arbitrary<bool>();
    // Independent partitions: each owner may reach a half that the other does
    // not.
    for (auto& unreachable : model.unreachable) {
      unreachable = *rc::gen::inRange(0, 128) & *rc::gen::inRange(0, 128);
    }
    for (int step = 0; step < 160; ++step) {
      // A claim needs the log, so the outage begins after the claim.
      model.log_down = model.now > model.claimed_at + 500;
      model.Step();
      const auto now = TakeoverModel::At(model.now);
      const bool old_may = model.owners[0].MayAct(now);
      const bool new_may = model.owners[1].MayStartContested(now);
      RC_ASSERT(!(old_may && new_may && model.HasUnreachedWitness()));
      old_acted += old_may ? 1 : 0;
      new_acted_alone +=
          new_may && !old_may && model.HasUnreachedWitness() ? 1 : 0;
    }
  });
  BOOST_TEST(ok);
  // Ensures that the histories exercise the property.
  BOOST_TEST(old_acted > 100);
  BOOST_TEST(new_acted_alone > 100);
}

}  // namespace
}  // namespace shallotbank::membership
