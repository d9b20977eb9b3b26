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

/// A worker or minion as listed by the platform.
struct Host {
  std::string name;
  std::string url;
  HostRole role = HostRole::kWorker;
  ServiceName service;  ///< Minions only.
  FailureDomain domain;
  RackId rack;
  bool is_leaving = false;
  Resources capacity;   ///< Workers only.
  int slots = 0;        ///< Minions only.
  int connections = 0;  ///< Minions only.

  auto operator==(const Host&) const -> bool = default;
};

/// The host list is malformed.
struct HostListError {
  std::string field;
  std::string message;
};

/// Parses the body of `GET /hosts`. Errors: `HostListError`; the whole list is
/// then rejected.
auto ParseHostList(std::string_view body)
    -> boost::leaf::result<std::vector<Host>>;

/// The latest host list. The list may be out of date, so a host that was once
/// listed as leaving is treated as leaving until it is no longer listed.
class HostTable {
 public:
  /// How long a host is remembered after it was removed from the list. Must be
  /// longer than the leases, because the work of the host counts as running
  /// until they have expired.
  static constexpr std::chrono::minutes kRemovedHostRetention{20};

  struct RemovedHost {
    Host host;
    TimePoint since;
  };

  /// Replaces the list; returns true if it has changed.
  auto Update(std::vector<Host> listed, TimePoint now) -> bool;
  /// Hosts that were removed from the list.
  auto RemovedHosts() const -> const std::map<std::string, RemovedHost>& {
    return this->removed;
  }
  auto Hosts() const -> const std::map<std::string, Host>& {
    return this->hosts;
  }
  /// The host, including one that was removed from the list, or null.
  auto FindIncludingRemoved(const std::string& name) const -> const Host*;
  auto IsEmpty() const -> bool { return this->hosts.empty(); }

 private:
  std::map<std::string, Host> hosts;
  std::map<std::string, RemovedHost> removed;
};

}  // namespace shallotbank::platform
