#pragma once

#include <cstdint>
#include <string>

#include <boost/leaf.hpp>

#include "base/ids.h"
#include "base/settings.h"
#include "rpc/messages.h"

namespace shallotbank::daemon {

/// A numeric IPv4 address and a port.
struct Endpoint {
  std::string address;
  std::uint16_t port = 0;
};

/// Parses `ADDRESS:PORT` with a numeric IPv4 address. Errors: `SettingsError`
/// with an empty setting.
auto ParseEndpoint(const std::string& text) -> boost::leaf::result<Endpoint>;

/// Declares the settings that are common to both daemons.
auto AddCommonSettings(SettingsBuilder& builder) -> SettingsBuilder&;

/// The validated values of the common settings.
struct CommonSettings {
  std::string host;
  FailureDomain domain;
  Endpoint http;
  Endpoint rpc;
  std::string stream_url;
  std::string host_list_url;
  std::vector<std::string> peers;
  Duration drain_timeout{};
};

/// Reads and validates the common settings. Errors: `SettingsError`.
auto ReadCommonSettings(const Settings& settings)
    -> boost::leaf::result<CommonSettings>;

/// Returns an incarnation number: the system clock in microseconds, so that a
/// restarted process has a higher number than before.
auto MakeIncarnation() -> std::uint64_t;

/// Returns a process id that is unique to this incarnation: host, role and a
/// random number.
auto MakeProcessId(const std::string& host, const std::string& role)
    -> ProcessId;

}  // namespace shallotbank::daemon
