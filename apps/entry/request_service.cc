#include "request_service.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "configuration/configuration.h"

namespace shallotbank::entry {
namespace {

namespace leaf = boost::leaf;
using std::chrono::milliseconds;

constexpr std::size_t kMaxWaitingDuplicates = 1000;
constexpr int kConflict = 409;
constexpr int kUnprocessable = 422;
constexpr int kUnavailable = 503;

auto Error(int status,
           std::string reason,
           std::string field,
           std::string message) -> leaf::error_id {
  return leaf::new_error(
      ApiError{status, Refusal{Verdict::kNotRun, std::move(reason),
                               std::move(field), std::move(message)}});
}

// Returns the deadline that the caller has set, limited to that of the profile.
auto ReadDeadline(const ApiCall& call, milliseconds max_deadline)
    -> leaf::result<milliseconds> {
  const auto text = call.Header(header::kDeadline);
  if (text.empty()) {
    return max_deadline;
  }
  std::int64_t value = 0;
  const auto* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  if (parsed.ec != std::errc() || parsed.ptr != end || value <= 0) {
    return Error(400, "invalid_header", header::kDeadline,
                 "must be an integer number of milliseconds above 0");
  }
  return std::min(milliseconds(value), max_deadline);
}

auto RequestDigest(const ProfileName& profile, const std::string& body)
    -> std::string {
  return configuration::Sha256Hex(profile.Text() + "\n" + body);
}

}  // namespace

RequestService::RequestService(Context& context,
                               Authorization& authorization,
                               MinionGroups& groups)
    : context(context),
      authorization(authorization),
      groups(groups),
      router(routing::RouterPolicy{}, &context.metrics) {}

auto RequestService::Handle(ApiCall call) -> void {
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(caller, this->authorization.CheckProfile(call));
        BOOST_LEAF_AUTO(request, this->MakeRequest(call, caller));
        request.call = std::make_shared<ApiCall>(std::move(call));
        if (request.request.idempotent) {
          this->Submit(std::move(request));
        } else {
          this->RecordIntent(
              std::make_shared<PendingRequest>(std::move(request)));
        }
        return {};
      },
      [&](const ApiError& error) {
        Refuse(this->context, call, error.status, error.refusal);
      },
      [&] { Refuse(this->context, call, 500, {.reason = "internal_error"}); });
}

auto RequestService::MakeRequest(const ApiCall& call, const Caller& caller)
    -> leaf::result<PendingRequest> {
  const auto& profile = *caller.profile;
  if (profile.job_class != configuration::JobClass::kRequest) {
    return Error(kUnprocessable, "profile_not_for_requests", header::kProfile,
                 "the profile is for jobs; use /v1/jobs");
  }
  if (!profile.idempotent && call.Header(header::kRequestId).empty()) {
    return Error(400, "missing_header", header::kRequestId,
                 "a request that must not run twice must have a request id");
  }
  BOOST_LEAF_AUTO(
      deadline,
      ReadDeadline(call, profile.deadline.value_or(milliseconds(1000))));
  PendingRequest request;
  request.caller_id = call.request_id;
  request.profile = profile.name;
  request.body = call.request.body;
  request.received_at = call.received_at;
  request.request.id = RequestId(this->context.process.Text() + "-r" +
                                 std::to_string(this->next_request++));
  request.request.service = profile.service;
  request.request.team = caller.team;
  request.request.urgent = profile.priority == configuration::Priority::kUrgent;
  request.request.idempotent = profile.idempotent;
  request.request.deadline = call.received_at + deadline;
  request.request.domain = this->context.settings.domain;
  return request;
}

auto RequestService::RecordIntent(
    const std::shared_ptr<PendingRequest>& request) -> void {
  const auto digest = RequestDigest(request->profile, request->body);
  if (this->AnswerDuplicate(request, digest)) {
    return;
  }
  if (!this->context.log.CanAppend()) {
    Refuse(this->context, *request->call, kUnavailable,
           {Verdict::kNotRun, "log_unavailable", "",
            "the platform's log does not take records now; try again later"});
    return;
  }
  const auto token = this->next_token++;
  request->token = token;
  const RequestId id(request->caller_id);
  this->context.log.Append(
      {journal::RequestIntent{request->request.team, id, digest, token}},
      request->request.deadline,
      [this, request, id, digest, token](const daemon::RecordedResult& result) {
        if (result.verdict != Verdict::kRan) {
          // The intent may have reached the log, but only this process may
          // forward the request, and it will not do so.
          Refuse(this->context, *request->call, kUnavailable,
                 {Verdict::kNotRun, "log_unavailable", "",
                  "the platform's log did not record the request in time"});
          return;
        }
        const bool is_first =
            this->context.log.State()->Requests().IsFirstIntent(
                request->request.team, id, this->context.process, token);
        if (is_first) {
          this->Submit(std::move(*request));
        } else if (!this->AnswerDuplicate(request, digest)) {
          Refuse(this->context, *request->call, kUnavailable,
                 {Verdict::kNotRun, "request_not_recorded", "",
                  "the request could not be recorded"});
        }
      });
}

// Answers a request whose id is already in the log, or lets it wait until the
// first request with that id has completed. Returns false if the id is not in
// the log.
auto RequestService::AnswerDuplicate(
    const std::shared_ptr<PendingRequest>& request,
    const std::string& digest) -> bool {
  const auto* entry = this->context.log.State()->Requests().Find(
      request->request.team, RequestId(request->caller_id));
  if (entry == nullptr) {
    return false;
  }
  auto& call = *request->call;
  if (entry->digest != digest) {
    Refuse(this->context, call, kUnprocessable,
           {Verdict::kNotRun, "request_id_reused", header::kRequestId,
            "the id belongs to another request; this one did not run"});
  } else if (entry->answer) {
    this->ReplyFromRecord(*request, *entry->answer);
  } else if (this->waiting_duplicates.size() < kMaxWaitingDuplicates &&
             this->MayStillComplete(*request, *entry)) {
    this->waiting_duplicates.push_back({request, digest});
  } else {
    Refuse(this->context, call, kConflict,
           {Verdict::kMayHaveRun, "request_repeated", header::kRequestId,
            "the request was accepted before; its outcome is not known"});
  }
  return true;
}

auto RequestService::ReplyFromRecord(PendingRequest& request,
                                     const journal::Answer& answer) -> void {
  auto& call = *request.call;
  if (!answer.body) {
    Refuse(this->context, call, kConflict,
           {Verdict::kRan, "answer_not_kept", header::kRequestId,
            "the request ran; its answer was too large to keep"});
    return;
  }
  this->context.metrics.Add("requests_replayed_total");
  call.responder.Send({answer.status,
                       {{"Content-Type", answer.content_type},
                        {header::kRequestId, request.caller_id},
                        {header::kReplayed, "true"},
                        {header::kHost, this->context.settings.host}},
                       *answer.body});
}

// Returns whether the first request with this id may still complete: the
// process that accepted it is alive and the deadline has not passed.
auto RequestService::MayStillComplete(const PendingRequest& request,
                                      const journal::RequestEntry& entry) const
    -> bool {
  if (SystemClock().Now() >= request.request.deadline) {
    return false;
  }
  if (entry.writer == this->context.process) {
    return std::any_of(this->pending_requests.begin(),
                       this->pending_requests.end(),
                       [&entry](const auto& other) {
                         return other.second.token == entry.token;
                       });
  }
  const auto* writer = this->context.peers.Find(entry.writer);
  return writer != nullptr && !writer->is_suspected;
}

auto RequestService::AnswerWaitingDuplicates() -> void {
  auto waiting = std::exchange(this->waiting_duplicates, {});
  for (const auto& duplicate : waiting) {
    this->AnswerDuplicate(duplicate.request, duplicate.digest);
  }
}

auto RequestService::Submit(PendingRequest request) -> void {
  const auto submitted = request.request;
  this->pending_requests.insert_or_assign(submitted.id, std::move(request));
  this->Execute(this->router.Submit(submitted, SystemClock().Now()));
}

auto RequestService::HandleForwarded(rpc::ForwardRequest request,
                                     rpc::Reply<rpc::ForwardResponse> reply)
    -> void {
  PendingRequest entry;
  const auto now = SystemClock().Now();
  entry.peer.emplace(std::move(reply));
  entry.caller_id = request.request_id.Text();
  entry.profile = request.profile;
  entry.body = std::move(request.body);
  entry.received_at = now;
  entry.request.id = RequestId(this->context.process.Text() + "-f" +
                               std::to_string(this->next_request++));
  entry.request.service = request.service;
  entry.request.team = request.team;
  entry.request.idempotent = request.idempotent;
  const auto* state = this->context.log.State();
  const auto* profile =
      state == nullptr
          ? nullptr
          : state->Configuration().Get().FindProfile(request.profile);
  entry.request.urgent = profile != nullptr &&
                         profile->priority == configuration::Priority::kUrgent;
  entry.request.forwarded = true;
  entry.request.deadline = now + request.deadline_left;
  entry.request.domain = this->context.settings.domain;
  this->Submit(std::move(entry));
}

auto RequestService::HandleHosts(TimePoint now) -> void {
  this->Execute(this->router.UpdateMinions(this->groups.Minions(), now));
}

auto RequestService::HandlePeer(const daemon::PeerInfo& peer) -> void {
  if (peer.state.role != rpc::Role::kEntry) {
    return;
  }
  if (peer.state.draining) {
    this->router.RemovePeer(peer.state.process);
    return;
  }
  routing::PeerCapacity capacity{
      peer.state.process, peer.state.failure_domain, {}};
  for (const auto& entry : peer.state.free_slots) {
    capacity.services.push_back(
        {entry.service, static_cast<int>(entry.slots), 0});
  }
  this->Execute(this->router.UpdatePeer(capacity, peer.last_heard));
}

auto RequestService::HandleGroupLoss(const ResourceId& group) -> void {
  this->Execute(this->router.RemoveGroup(group, SystemClock().Now()));
}

auto RequestService::IsIdle(const ResourceId& group) const -> bool {
  const auto minions = this->groups.Minions();
  return std::all_of(minions.begin(), minions.end(), [&](const auto& minion) {
    return minion.group != group || this->router.InUse(minion.id) == 0;
  });
}

auto RequestService::Tick(TimePoint now) -> void {
  for (const auto& group : this->groups.UsableGroups(now)) {
    this->Execute(this->router.SetGroup(group, now));
  }
  this->Execute(this->router.Expire(now));
  this->AnswerWaitingDuplicates();
}

auto RequestService::FreeSlots() -> std::vector<rpc::FreeSlots> {
  std::vector<rpc::FreeSlots> result;
  for (const auto& capacity : this->router.FreeCapacity(SystemClock().Now())) {
    result.push_back({capacity.service, static_cast<std::uint32_t>(
                                            std::max(capacity.free_slots, 0))});
  }
  return result;
}

}  // namespace shallotbank::entry
