#include "membership/authority.h"

#include <algorithm>

namespace shallotbank::membership {

Authority::Authority(Epoch epoch,
                     const std::vector<WitnessId>& witnesses,
                     bool has_previous_owner)
    : epoch(epoch), has_previous_owner(has_previous_owner) {
  for (const auto& witness : witnesses) {
    this->AddWitness(witness);
  }
}

auto Authority::AddWitness(const WitnessId& witness) -> void {
  this->witnesses.try_emplace(witness);
  this->removed_unreached.erase(witness);
}

auto Authority::RemoveWitness(const WitnessId& witness) -> void {
  const auto found = this->witnesses.find(witness);
  if (found == this->witnesses.end()) {
    return;
  }
  if (!found->second) {
    this->removed_unreached.insert(witness);
  }
  this->witnesses.erase(found);
}

auto Authority::ConfirmByLog(Epoch in_force, TimePoint sent) -> void {
  if (in_force > this->epoch) {
    this->superseded = true;
  }
  // A lower epoch comes from a read that was answered before the claim.
  if (in_force == this->epoch) {
    this->log_confirmed_at =
        std::max(this->log_confirmed_at.value_or(sent), sent);
  }
}

auto Authority::ConfirmByWitness(const WitnessId& witness,
                                 Epoch highest,
                                 TimePoint sent,
                                 TimePoint now) -> void {
  if (highest > this->epoch) {
    this->superseded = true;
    return;
  }
  const auto found = this->witnesses.find(witness);
  if (highest < this->epoch || found == this->witnesses.end()) {
    return;
  }
  found->second = std::max(found->second.value_or(sent), sent);
  if (!this->majority_at && this->ReachedCount() >= this->Majority()) {
    this->majority_at = now;
  }
}

auto Authority::Majority() const -> std::size_t {
  return this->witnesses.size() / 2 + 1;
}

auto Authority::ReachedCount() const -> std::size_t {
  return static_cast<std::size_t>(std::count_if(
      this->witnesses.begin(), this->witnesses.end(),
      [](const auto& entry) { return entry.second.has_value(); }));
}

auto Authority::UnreachedCount() const -> std::size_t {
  return this->witnesses.size() - this->ReachedCount() +
         this->removed_unreached.size();
}

auto Authority::MajorityConfirmedAt() const -> std::optional<TimePoint> {
  std::vector<TimePoint> times;
  for (const auto& [witness, time] : this->witnesses) {
    if (time) {
      times.push_back(*time);
    }
  }
  const auto majority = this->Majority();
  if (times.size() < majority) {
    return std::nullopt;
  }
  // A majority has answered messages sent at this time or later.
  const auto place = times.begin() + static_cast<std::ptrdiff_t>(majority - 1);
  std::nth_element(times.begin(), place, times.end(), std::greater<>());
  return *place;
}

auto Authority::ValidUntil() const -> TimePoint {
  if (this->superseded || (this->has_previous_owner && !this->HasMajority())) {
    return TimePoint::min();
  }
  // An empty optional compares less than any time.
  const auto confirmed =
      std::max(this->log_confirmed_at, this->MajorityConfirmedAt());
  return confirmed ? *confirmed + kAuthorityDuration : TimePoint::min();
}

auto Authority::MayAct(TimePoint now) const -> bool {
  return now < this->ValidUntil();
}

auto Authority::MayStartContested(TimePoint now) const -> bool {
  const auto from = this->ContestedFrom();
  return this->MayAct(now) && from && now >= *from;
}

auto Authority::ContestedFrom() const -> std::optional<TimePoint> {
  if (!this->has_previous_owner) {
    return TimePoint::min();
  }
  if (!this->majority_at) {
    return std::nullopt;
  }
  // The previous owner cannot have been confirmed after the majority was
  // reached.
  return this->UnreachedCount() == 0
             ? *this->majority_at
             : *this->majority_at + kAuthorityDuration + kClockDriftMargin;
}

}  // namespace shallotbank::membership
