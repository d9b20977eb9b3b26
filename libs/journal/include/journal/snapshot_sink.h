#pragma once

#include <functional>

#include <nlohmann/json_fwd.hpp>

namespace shallotbank::journal {

/// Takes the items of a snapshot, one fact each.
using SnapshotSink = std::function<void(const nlohmann::json&)>;

}  // namespace shallotbank::journal
