#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "api.h"
#include "authorization.h"

namespace shallotbank::entry {

/// Accepts, cancels, shows and lists jobs.
class JobService {
 public:
  JobService(Context& context, Authorization& authorization)
      : context(context), authorization(authorization) {}

  auto Submit(ApiCall call) -> void;
  auto Cancel(ApiCall call, const JobId& id) -> void;
  auto Show(ApiCall call, const JobId& id) -> void;
  auto List(ApiCall call) -> void;
  /// Repeats the deferred lookups of jobs that were unknown when they were
  /// requested.
  auto Tick() -> void;

 private:
  auto MakeSpec(const ApiCall& call, const Caller& caller)
      -> boost::leaf::result<journal::JobSpec>;
  auto CheckFeasible(const journal::JobSpec& spec) -> boost::leaf::result<void>;
  auto AppendJob(const std::shared_ptr<ApiCall>& call, journal::JobSpec spec)
      -> void;
  auto FindJob(const ApiCall& call, const JobId& id)
      -> boost::leaf::result<const journal::Job*>;
  auto MustWaitForRead(const ApiCall& call, const JobId& id) const -> bool;
  auto QueryOwner(const std::shared_ptr<ApiCall>& call, const journal::Job& job)
      -> void;
  auto ReplyFromLog(ApiCall& call, const JobId& id, const char* owner) -> void;

  Context& context;
  Authorization& authorization;
  std::vector<std::function<void()>> deferred_lookups;
  std::uint64_t next_job = 1;
};

}  // namespace shallotbank::entry
