#include "standins/faults.h"

#include <nlohmann/json.hpp>

namespace shallotbank::standins {

auto MergeFaults(const nlohmann::json& change, Faults& faults) -> void {
  faults.down = change.value("down", faults.down);
  faults.silent = change.value("silent", faults.silent);
  faults.lose_answers = change.value("lose_answers", faults.lose_answers);
  if (change.contains("delay_ms")) {
    faults.delay = std::chrono::milliseconds(change["delay_ms"].get<int>());
  }
}

auto ResponseDropper::ShouldDrop(double fraction) -> bool {
  std::lock_guard lock(this->mutex);
  return std::uniform_real_distribution<double>()(this->random) < fraction;
}

auto ResponseDropper::KeepOpen(http::Responder responder) -> void {
  std::lock_guard lock(this->mutex);
  this->unanswered.push_back(std::move(responder));
}

}  // namespace shallotbank::standins
