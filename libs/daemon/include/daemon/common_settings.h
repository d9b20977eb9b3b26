#pragma once

#include <cstdint>
#include <string>

#include <boost/leaf.hpp>

#include "base/ids.h"
#include "base/settings.h"
#include "rpc/messages.h"

namespace shallotbank::daemon {

/// An address and port.
struct Endpoint {
  std::string address;
  std::uint16_t port = 0;
};

/// Parses `ADDRESS:PORT` with a numeric IPv4 address. Errors: `SettingsError`
/// with an empty setting.
auto ParseEndpoint(const std::string& text) -> boost::leaf::result<Endpoint>;

/// Declares the settings that both daemons have.
auto AddCommonSettings(SettingsBuilder& builder) -> SettingsBuilder&;

/// The common settings, checked.
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

/// Errors: `SettingsError`.
auto ReadCommonSettings(const Settings& settings)
    -> boost::leaf::result<CommonSettings>;

/// A number that is larger for a later start of a process.
auto MakeIncarnation() -> std::uint64_t;

/// An id for this start of this process.
auto MakeProcessId(const std::string& host, const std::string& role)
    -> ProcessId;

}  // namespace shallotbank::daemon
