#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <boost/leaf.hpp>

#include "base/clock.h"
#include "base/ids.h"
#include "base/resources.h"

namespace shallotbank::platform {

enum class HostRole { kWorker, kMinion };

/// A worker or minion as the platform's host list shows it.
struct Host {
  std::string name;
  std::string url;
  HostRole role = HostRole::kWorker;
  ServiceName service;  ///< Of a minion.
  FailureDomain domain;
  RackId rack;
  bool is_leaving = false;
  Resources capacity;   ///< Of a worker.
  int slots = 0;        ///< Of a minion.
  int connections = 0;  ///< Of a minion.

  auto operator==(const Host&) const -> bool = default;
};

/// The list could not be understood.
struct HostListError {
  std::string field;
  std::string message;
};

/// Parses the body of `GET /hosts`. Errors: `HostListError`; the whole list is
/// then refused.
auto ParseHostList(std::string_view body)
    -> boost::leaf::result<std::vector<Host>>;

/// The latest list. The list lags, so a host that was seen leaving stays
/// leaving until it has disappeared from a list.
class HostTable {
 public:
  /// How long a host that has disappeared is remembered: longer than leases,
  /// because what it ran counts as running until they have expired.
  static constexpr std::chrono::minutes kGoneMemory{20};

  struct GoneHost {
    Host host;
    TimePoint since;
  };

  /// Replaces the list; returns true if anything changed.
  auto Update(std::vector<Host> listed, TimePoint now) -> bool;
  /// Hosts that have disappeared from the list.
  auto Gone() const -> const std::map<std::string, GoneHost>& {
    return this->gone;
  }
  auto Hosts() const -> const std::map<std::string, Host>& {
    return this->hosts;
  }
  /// The host, also if it has disappeared from the list; or null.
  auto FindOrGone(const std::string& name) const -> const Host*;
  auto IsEmpty() const -> bool { return this->hosts.empty(); }

 private:
  std::map<std::string, Host> hosts;
  std::map<std::string, GoneHost> gone;
};

}  // namespace shallotbank::platform
