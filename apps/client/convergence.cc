#include "convergence.h"

#include <algorithm>
#include <thread>

namespace shallotbank::client {
namespace {

namespace leaf = boost::leaf;
using nlohmann::json;

constexpr std::chrono::seconds kDefaultWait{30};
constexpr std::chrono::milliseconds kPollInterval{100};

auto DescribeLaggard(const json& host) -> std::string {
  auto text = TextOf(host, "host") + " (at " + TextOf(host, "log_head");
  if (host.value("suspected", false)) {
    text += ", silent for " + TextOf(host, "silence_ms") + " ms";
  }
  return text + ")";
}

// A process that was started again stays in the list for a while under its old
// id.
auto IsReplaced(const json& host, const json& all) -> bool {
  return host.value("suspected", false) &&
         std::any_of(all.begin(), all.end(), [&host](const json& other) {
           return !other.value("suspected", false) &&
                  TextOf(other, "role") == TextOf(host, "role") &&
                  TextOf(other, "host") == TextOf(host, "host");
         });
}

// The hosts below `version`; empty if there are none.
auto Laggards(const json& answer, Offset version) -> std::string {
  std::string names;
  const auto all = answer.value("hosts", json::array());
  for (const auto& host : all) {
    const bool is_entry = TextOf(host, "role") == "entry";
    if (is_entry && !IsReplaced(host, all) &&
        host.value("log_head", Offset{0}) < version) {
      names += (names.empty() ? "" : ", ") + DescribeLaggard(host);
    }
  }
  return names;
}

}  // namespace

auto WaitForVersion(Session& session, Offset version) -> leaf::result<void> {
  BOOST_LEAF_AUTO(headers, OperatorHeaders(session.options));
  const SystemClock clock;
  const auto limit =
      clock.Now() + session.options.Time("timeout", kDefaultWait);
  std::string reported;
  while (true) {
    BOOST_LEAF_AUTO(answer, session.entry.SendForJson(
                                {.path = "/v1/hosts", .headers = headers}));
    const auto behind = Laggards(answer, version);
    if (behind.empty()) {
      session.err << "version " << version
                  << " is in force on every entry host\n";
      return {};
    }
    if (clock.Now() >= limit) {
      return Fail(ExitStatus::kTimeout,
                  "version " + std::to_string(version) +
                      " is accepted but has not reached: " + behind,
                  "see shallotbank hosts; a host that is gone for good does "
                  "not matter");
    }
    if (behind != reported) {
      session.err << "waiting for " << behind << "\n";
      reported = behind;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

}  // namespace shallotbank::client
