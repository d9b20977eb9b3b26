#pragma once

#include <boost/leaf.hpp>

#include "api.h"
#include "configuration/configuration.h"
#include "membership/view_freshness.h"

namespace shallotbank::entry {

/// A refusal with its HTTP status.
struct ApiError {
  int status = 400;
  Refusal refusal;
};

/// An authorized caller and the profile that the call names.
struct Caller {
  TeamId team;  ///< May be empty if the queue is open to everyone.
  const configuration::Profile* profile = nullptr;
};

/// Authorizes calls against the local view of the configuration.
class Authorization {
 public:
  explicit Authorization(Context& context) : context(context) {}

  /// Returns the authorized caller and the profile of a request or a job
  /// submission. Errors: `ApiError`.
  auto CheckProfile(const ApiCall& call) -> boost::leaf::result<Caller>;
  /// Checks that the caller may see and cancel the jobs of `team`. Errors:
  /// `ApiError`.
  auto CheckTeam(const ApiCall& call, const TeamId& team)
      -> boost::leaf::result<void>;
  /// Checks the operator key. Errors: `ApiError`.
  auto CheckOperator(const ApiCall& call) -> boost::leaf::result<void>;
  /// Checks that the local view is complete and fresh. Errors: `ApiError`.
  auto CheckViewFreshness() -> boost::leaf::result<void>;
  /// Checks that the log accepts records. Errors: `ApiError`.
  auto CheckLogAvailable() -> boost::leaf::result<void>;

  /// Returns whether the local view may be used now. If a peer has a newer one,
  /// starts reading the missing records from that peer and returns false.
  auto IsViewFresh() -> bool;

 private:
  auto ReadRecordsFromPeer(const std::string& address) -> void;
  auto HasMajorityOfPeers(TimePoint now) const -> bool;

  Context& context;
  bool is_peer_read_in_flight = false;
};

}  // namespace shallotbank::entry
