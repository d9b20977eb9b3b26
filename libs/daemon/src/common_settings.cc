#include "daemon/common_settings.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>
#include <random>

namespace shallotbank::daemon {
namespace {

namespace leaf = boost::leaf;

auto CheckUrl(const Settings& settings, const std::string& name)
    -> leaf::result<std::string> {
  const auto& url = settings.Text(name);
  if (!url.starts_with("http://")) {
    return leaf::new_error(
        SettingsError{"--" + name, "must be a URL that starts with http://"});
  }
  return url;
}

auto CheckEndpoint(const Settings& settings, const std::string& name)
    -> leaf::result<Endpoint> {
  const auto endpoint = ParseEndpoint(settings.Text(name));
  if (!endpoint) {
    return leaf::new_error(SettingsError{
        "--" + name, "'" + settings.Text(name) +
                         "' is not an address such as 127.0.0.1:8080"});
  }
  return endpoint.value();
}

}  // namespace

auto ParseEndpoint(const std::string& text) -> leaf::result<Endpoint> {
  const auto colon = text.rfind(':');
  const auto failure = SettingsError{
      "", "'" + text + "' is not a numeric IPv4 address and a port"};
  if (colon == std::string::npos) {
    return leaf::new_error(failure);
  }
  Endpoint endpoint;
  endpoint.address = text.substr(0, colon);
  in_addr parsed_address{};
  if (inet_pton(AF_INET, endpoint.address.c_str(), &parsed_address) != 1) {
    return leaf::new_error(failure);
  }
  const auto* end = text.data() + text.size();
  const auto parsed =
      std::from_chars(text.data() + colon + 1, end, endpoint.port);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return leaf::new_error(failure);
  }
  return endpoint;
}

auto AddCommonSettings(SettingsBuilder& builder) -> SettingsBuilder& {
  return builder.RequiredText("host", "name of this host in logs and responses")
      .RequiredText("domain", "failure domain of this host")
      .Text("http", "127.0.0.1:0", "address and port of the HTTP interface")
      .Text("rpc", "127.0.0.1:0", "address and port for other daemons")
      .RequiredText(
          "log-url",
          "URL of the log stream's records, http://IP:PORT/streams/S/records")
      .RequiredText("hosts-url",
                    "URL of the platform's host list, http://IP:PORT/hosts")
      .Text("peers", "", "comma-separated RPC addresses of other daemons")
      .Time("drain-timeout", std::chrono::seconds(30),
            "how long a planned stop may take");
}

auto ReadCommonSettings(const Settings& settings)
    -> leaf::result<CommonSettings> {
  CommonSettings result;
  result.host = settings.Text("host");
  result.domain = FailureDomain(settings.Text("domain"));
  BOOST_LEAF_ASSIGN(result.http, CheckEndpoint(settings, "http"));
  BOOST_LEAF_ASSIGN(result.rpc, CheckEndpoint(settings, "rpc"));
  BOOST_LEAF_ASSIGN(result.stream_url, CheckUrl(settings, "log-url"));
  BOOST_LEAF_ASSIGN(result.host_list_url, CheckUrl(settings, "hosts-url"));
  result.peers = settings.List("peers");
  for (const auto& peer : result.peers) {
    if (!ParseEndpoint(peer)) {
      return leaf::new_error(SettingsError{
          "--peers",
          "'" + peer + "' is not an address such as 127.0.0.1:9000"});
    }
  }
  result.drain_timeout = settings.Time("drain-timeout");
  return result;
}

auto MakeIncarnation() -> std::uint64_t {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(since_epoch)
          .count());
}

auto MakeProcessId(const std::string& host, const std::string& role)
    -> ProcessId {
  std::random_device random;
  std::array<char, 2 * sizeof(std::uint64_t) + 1> hex{};
  const auto value = (static_cast<std::uint64_t>(random()) << 32U) | random();
  constexpr int kBase = 16;
  const auto end = std::to_chars(hex.begin(), hex.end(), value, kBase);
  return ProcessId(host + "-" + role + "-" + std::string(hex.data(), end.ptr));
}

}  // namespace shallotbank::daemon
