#pragma once

#include <functional>

#include <nlohmann/json_fwd.hpp>

namespace shallotbank::journal {

/// Receives the items of a snapshot, one entry each.
using SnapshotSink = std::function<void(const nlohmann::json&)>;

}  // namespace shallotbank::journal
