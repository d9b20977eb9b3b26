#pragma once

#include <boost/leaf.hpp>

#include "api.h"
#include "configuration/configuration.h"
#include "membership/view_freshness.h"

namespace shallotbank::entry {

/// A refusal with the HTTP status that goes with it.
struct ApiError {
  int status = 400;
  Refusal refusal;
};

/// A caller whose key was checked, and the profile that the call names.
struct Caller {
  TeamId team;  ///< May be empty on an open queue.
  const configuration::Profile* profile = nullptr;
};

/// Checks who may do what against the own view of the configuration.
class Authorization {
 public:
  explicit Authorization(Context& context) : context(context) {}

  /// The caller and profile of a request or job submission. Errors: `ApiError`.
  auto CheckProfile(const ApiCall& call) -> boost::leaf::result<Caller>;
  /// The caller may see and cancel the work of `team`. Errors: `ApiError`.
  auto CheckTeam(const ApiCall& call, const TeamId& team)
      -> boost::leaf::result<void>;
  /// Errors: `ApiError`.
  auto CheckOperator(const ApiCall& call) -> boost::leaf::result<void>;
  /// Errors: `ApiError` while the view may be out of date.
  auto CheckView() -> boost::leaf::result<void>;
  /// Errors: `ApiError` while the log takes no records.
  auto CheckLog() -> boost::leaf::result<void>;

  /// Whether the own view may be used now; reads from a peer if that is ahead.
  auto IsViewFresh() -> bool;

 private:
  auto ReadFrom(const std::string& address) -> void;
  auto HasMajorityOfPeers(TimePoint now) const -> bool;

  Context& context;
  bool is_reading = false;
};

}  // namespace shallotbank::entry
