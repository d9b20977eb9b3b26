#include "convergence.h"

#include <algorithm>
#include <thread>

namespace shallotbank::client {
namespace {

namespace leaf = boost::leaf;
using nlohmann::json;

constexpr std::chrono::seconds kDefaultWaitTimeout{30};
constexpr std::chrono::milliseconds kPollInterval{100};
// An entry host that has read nothing from the log or from a peer for this long
// refuses work that needs a key.
constexpr std::chrono::milliseconds kIsolationTimeout{3000};

auto UnresponsiveTime(const json& process) -> std::chrono::milliseconds {
  return std::chrono::milliseconds(
      process.value("silence_ms", std::int64_t{0}));
}

auto DescribeLaggingHost(const json& host) -> std::string {
  auto text = MemberText(host, "host") + " (at " + MemberText(host, "log_head");
  if (host.value("suspected", false)) {
    text += ", silent for " + MemberText(host, "silence_ms") + " ms";
  }
  return text + ")";
}

// The entry hosts that have not read up to `version`, separated by commas;
// empty if there are none.
auto LaggingHosts(const json& response, Offset version) -> std::string {
  std::string names;
  const auto all = response.value("hosts", json::array());
  for (const auto& host : all) {
    const bool is_entry = MemberText(host, "role") == "entry";
    const bool has_ended = IsReplaced(host, all) || IsStopped(host);
    if (is_entry && !has_ended && host.value("log_head", Offset{0}) < version) {
      names += (names.empty() ? "" : ", ") + DescribeLaggingHost(host);
    }
  }
  return names;
}

}  // namespace

auto IsReplaced(const json& process, const json& all) -> bool {
  return process.value("suspected", false) &&
         std::any_of(all.begin(), all.end(), [&process](const json& other) {
           return UnresponsiveTime(other) < UnresponsiveTime(process) &&
                  MemberText(other, "role") == MemberText(process, "role") &&
                  MemberText(other, "host") == MemberText(process, "host");
         });
}

auto IsStopped(const json& process) -> bool {
  return process.value("suspected", false) &&
         process.value("draining", false) &&
         UnresponsiveTime(process) >= kIsolationTimeout;
}

auto WaitForVersion(Session& session, Offset version) -> leaf::result<void> {
  BOOST_LEAF_AUTO(headers, OperatorHeaders(session.options));
  const SystemClock clock;
  const auto deadline =
      clock.Now() + session.options.DurationOr("timeout", kDefaultWaitTimeout);
  std::string reported;
  while (true) {
    BOOST_LEAF_AUTO(response, session.entry.SendForJson(
                                  {.path = "/v1/hosts", .headers = headers}));
    const auto lagging = LaggingHosts(response, version);
    if (lagging.empty()) {
      session.err << "version " << version
                  << " is in force on every entry host\n";
      return {};
    }
    if (clock.Now() >= deadline) {
      return Fail(ExitStatus::kTimeout,
                  "version " + std::to_string(version) +
                      " is accepted but has not yet reached: " + lagging,
                  "see shallotbank hosts; a host that is gone for good can "
                  "be ignored");
    }
    if (lagging != reported) {
      session.err << "waiting for " << lagging << "\n";
      reported = lagging;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

}  // namespace shallotbank::client
