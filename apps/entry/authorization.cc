#include "authorization.h"

#include <openssl/crypto.h>

namespace shallotbank::entry {
namespace {

namespace leaf = boost::leaf;

constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
constexpr std::uint32_t kMaxRecordsPerRead = 500;
constexpr std::chrono::milliseconds kPeerReadTimeout{500};

auto Error(int status,
           std::string reason,
           std::string field,
           std::string message) -> leaf::error_id {
  return leaf::new_error(
      ApiError{status, Refusal{Verdict::kNotRun, std::move(reason),
                               std::move(field), std::move(message)}});
}

auto EqualInConstantTime(const std::string& left, const std::string& right)
    -> bool {
  return left.size() == right.size() &&
         CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

}  // namespace

auto Authorization::CheckProfile(const ApiCall& call) -> leaf::result<Caller> {
  BOOST_LEAF_CHECK(this->CheckViewFreshness());
  const auto& configuration = this->context.log.State()->Configuration().Get();
  const auto name = call.Header(header::kProfile);
  if (name.empty()) {
    return Error(400, "missing_header", header::kProfile,
                 "the request must name a profile");
  }
  Caller caller;
  caller.profile = configuration.FindProfile(ProfileName(name));
  if (caller.profile == nullptr) {
    return Error(kNotFound, "unknown_profile", header::kProfile,
                 "there is no profile '" + name + "'");
  }
  caller.team = TeamId(call.Header(header::kTeam));
  const auto* queue = configuration.FindQueue(caller.profile->queue);
  const bool is_request =
      caller.profile->job_class == configuration::JobClass::kRequest;
  const bool is_open = queue != nullptr && queue->open;
  if (is_open &&
      (is_request || configuration.FindTeam(caller.team) != nullptr)) {
    return caller;
  }
  BOOST_LEAF_CHECK(this->CheckTeam(call, caller.team));
  return caller;
}

auto Authorization::CheckTeam(const ApiCall& call, const TeamId& team)
    -> leaf::result<void> {
  BOOST_LEAF_CHECK(this->CheckViewFreshness());
  if (call.Header(header::kTeam).empty()) {
    return Error(kUnauthorized, "missing_header", header::kTeam,
                 "the request must name the team of its key");
  }
  if (call.Header(header::kKey).empty()) {
    return Error(kUnauthorized, "missing_header", header::kKey,
                 "the request must have a key of its team");
  }
  const auto& configuration = this->context.log.State()->Configuration().Get();
  const bool is_team_named = call.Header(header::kTeam) == team.Text();
  if (!is_team_named ||
      !configuration.Authenticate(team, call.Header(header::kKey))) {
    return Error(kUnauthorized, "invalid_key", header::kKey,
                 "the key is not a valid key of the team");
  }
  return {};
}

auto Authorization::CheckOperator(const ApiCall& call) -> leaf::result<void> {
  const auto key_hash =
      configuration::Sha256Hex(call.Header(header::kOperatorKey));
  if (!EqualInConstantTime(key_hash, this->context.operator_key_sha256)) {
    return Error(kUnauthorized, "invalid_operator_key", header::kOperatorKey,
                 "the operator key is missing or not valid");
  }
  return {};
}

auto Authorization::CheckViewFreshness() -> leaf::result<void> {
  if (this->context.log.State() == nullptr) {
    return Error(kUnavailable, "not_ready", "",
                 "this host has not loaded the configuration yet");
  }
  if (!this->IsViewFresh()) {
    return Error(kUnavailable, "stale_view", "",
                 "this host's view of the configuration may be stale");
  }
  return {};
}

auto Authorization::CheckLogAvailable() -> leaf::result<void> {
  if (!this->context.log.CanAppend()) {
    return Error(
        kUnavailable, "log_unavailable", "",
        "the platform's log does not take records now; try again later");
  }
  return {};
}

auto Authorization::IsViewFresh() -> bool {
  using membership::FreshnessKind;
  const auto now = SystemClock().Now();
  const auto freshness = this->context.peers.Table().ViewFreshness(now);
  switch (freshness.kind) {
    case FreshnessKind::kFresh:
    case FreshnessKind::kLogDownForAll:
      return true;
    case FreshnessKind::kLogDownForReachable:
      // If no reachable host can read the log, requests are still served while
      // most hosts are reachable, since otherwise one failed host would block
      // all others for as long as the log is unavailable. The drawback is that
      // configuration changes accepted through unreachable hosts that can still
      // read the log are missed.
      return this->HasMajorityOfPeers(now);
    case FreshnessKind::kReadFromPeer:
      if (const auto* peer = this->context.peers.Find(freshness.peer);
          peer != nullptr && !this->is_peer_read_in_flight) {
        this->ReadRecordsFromPeer(peer->address);
      }
      return false;
    case FreshnessKind::kIsolated:
      return false;
  }
  return false;
}

auto Authorization::HasMajorityOfPeers(TimePoint now) const -> bool {
  const auto& table = this->context.peers.Table();
  const auto alive = table.Count(membership::PeerState::kAlive, now) + 1;
  const auto suspected = table.Count(membership::PeerState::kSuspected, now);
  return 2 * alive > alive + suspected;
}

auto Authorization::ReadRecordsFromPeer(const std::string& address) -> void {
  this->is_peer_read_in_flight = true;
  this->context.peers.Call<rpc::ReadRecordsRequest>(
      address, {this->context.log.Head() + 1, kMaxRecordsPerRead},
      kPeerReadTimeout,
      [this](rpc::CallResult<rpc::ReadRecordsResponse> result) {
        this->is_peer_read_in_flight = false;
        if (!result.response) {
          return;
        }
        std::vector<platform::LogRecord> records;
        for (auto& record : result.response->records) {
          records.push_back({record.offset, std::move(record.data)});
        }
        this->context.log.ApplyFromPeer(records);
        this->context.peers.Table().CaughtUp(this->context.log.Head());
      });
}

}  // namespace shallotbank::entry
