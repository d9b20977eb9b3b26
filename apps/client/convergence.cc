#include "convergence.h"

#include <algorithm>
#include <thread>

namespace shallotbank::client {
namespace {

namespace leaf = boost::leaf;
using nlohmann::json;

constexpr std::chrono::seconds kDefaultWait{30};
constexpr std::chrono::milliseconds kPollInterval{100};
// An entry host that has read neither the log nor from a peer for this time
// refuses keyed work.
constexpr std::chrono::milliseconds kIsolated{3000};

auto Silence(const json& process) -> std::chrono::milliseconds {
  return std::chrono::milliseconds(
      process.value("silence_ms", std::int64_t{0}));
}

auto DescribeLaggard(const json& host) -> std::string {
  auto text = TextOf(host, "host") + " (at " + TextOf(host, "log_head");
  if (host.value("suspected", false)) {
    text += ", silent for " + TextOf(host, "silence_ms") + " ms";
  }
  return text + ")";
}

// The hosts below `version`; empty if there are none.
auto Laggards(const json& answer, Offset version) -> std::string {
  std::string names;
  const auto all = answer.value("hosts", json::array());
  for (const auto& host : all) {
    const bool is_entry = TextOf(host, "role") == "entry";
    const bool is_gone = IsReplaced(host, all) || IsStopped(host);
    if (is_entry && !is_gone && host.value("log_head", Offset{0}) < version) {
      names += (names.empty() ? "" : ", ") + DescribeLaggard(host);
    }
  }
  return names;
}

}  // namespace

auto IsReplaced(const json& process, const json& all) -> bool {
  return process.value("suspected", false) &&
         std::any_of(all.begin(), all.end(), [&process](const json& other) {
           return Silence(other) < Silence(process) &&
                  TextOf(other, "role") == TextOf(process, "role") &&
                  TextOf(other, "host") == TextOf(process, "host");
         });
}

auto IsStopped(const json& process) -> bool {
  return process.value("suspected", false) &&
         process.value("draining", false) && Silence(process) >= kIsolated;
}

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
