#include "codec.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace shallotbank::rpc {
namespace {

auto ToText(const std::string& text) -> kj::StringPtr {
  return {text.c_str(), text.size()};
}

auto ToData(const std::string& bytes) -> kj::ArrayPtr<const kj::byte> {
  return kj::StringPtr(bytes.c_str(), bytes.size()).asBytes();
}

auto FromText(capnp::Text::Reader text) -> std::string {
  return {text.begin(), text.size()};
}

auto FromData(capnp::Data::Reader bytes) -> std::string {
  return {bytes.asChars().begin(), bytes.size()};
}

template <typename Id>
auto IdFrom(capnp::Text::Reader text) -> Id {
  return Id(FromText(text));
}

/// Converts to whole milliseconds, clamped to the range of the wire field.
auto ToMilliseconds(Duration time) -> std::uint32_t {
  const auto count =
      std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(
      count, 0, std::numeric_limits<std::uint32_t>::max()));
}

auto FromMilliseconds(std::uint32_t count) -> Duration {
  return std::chrono::milliseconds(count);
}

auto ToWire(Role role) -> wire::Role {
  switch (role) {
    case Role::kEntry:
      return wire::Role::ENTRY;
    case Role::kSched:
      return wire::Role::SCHED;
    case Role::kUnknown:
      break;
  }
  return wire::Role::UNKNOWN;
}

auto FromWire(wire::Role role) -> Role {
  switch (role) {
    case wire::Role::ENTRY:
      return Role::kEntry;
    case wire::Role::SCHED:
      return Role::kSched;
    default:  // Includes values sent by a newer peer.
      return Role::kUnknown;
  }
}

auto ToWire(Verdict verdict) -> wire::Verdict {
  switch (verdict) {
    case Verdict::kNotRun:
      return wire::Verdict::NOT_RUN;
    case Verdict::kRan:
      return wire::Verdict::RAN;
    case Verdict::kMayHaveRun:
      break;
  }
  return wire::Verdict::MAY_HAVE_RUN;
}

auto FromWire(wire::Verdict verdict) -> Verdict {
  switch (verdict) {
    case wire::Verdict::NOT_RUN:
      return Verdict::kNotRun;
    case wire::Verdict::RAN:
      return Verdict::kRan;
    default:  // An unknown value of a newer peer is inconclusive.
      return Verdict::kMayHaveRun;
  }
}

auto Write(const OwnedResource& in, wire::OwnedResource::Builder out) -> void {
  out.setResource(ToText(in.resource.Text()));
  out.setEpoch(in.epoch);
}

auto Write(const HeardPeer& in, wire::HeardPeer::Builder out) -> void {
  out.setProcess(ToText(in.process.Text()));
  out.setSilenceMs(ToMilliseconds(in.silence));
}

auto Write(const FreeSlots& in, wire::FreeSlots::Builder out) -> void {
  out.setService(ToText(in.service.Text()));
  out.setSlots(in.slots);
}

auto Write(const LogRecord& in, wire::LogRecord::Builder out) -> void {
  out.setOffset(in.offset);
  out.setData(ToData(in.data));
}

auto Write(const JobStatus& in, wire::JobStatus::Builder out) -> void {
  out.setJob(ToText(in.job.Text()));
  out.setOwned(in.owned);
  out.setStatusJson(ToText(in.status_json));
}

auto Write(const Header& in, wire::Header::Builder out) -> void {
  out.setName(ToText(in.name));
  out.setValue(ToText(in.value));
}

/// Writes a list whose elements have an overload of `Write`.
template <typename Item, typename ListBuilder>
auto WriteList(const std::vector<Item>& items, ListBuilder out) -> void {
  for (unsigned i = 0; i < items.size(); ++i) {
    Write(items[i], out[i]);
  }
}

auto Write(const PeerState& in, wire::PeerState::Builder out) -> void {
  out.setProcess(ToText(in.process.Text()));
  out.setIncarnation(in.incarnation);
  out.setHost(ToText(in.host));
  out.setRole(ToWire(in.role));
  out.setHttpAddress(ToText(in.http_address));
  out.setRpcAddress(ToText(in.rpc_address));
  out.setFailureDomain(ToText(in.failure_domain.Text()));
  out.setLogHead(in.log_head);
  out.setLogAgeMs(ToMilliseconds(in.log_age));
  WriteList(in.owned, out.initOwned(in.owned.size()));
  WriteList(in.heard, out.initHeard(in.heard.size()));
  out.setDraining(in.draining);
  WriteList(in.free_slots, out.initFreeSlots(in.free_slots.size()));
}

auto Read(wire::OwnedResource::Reader in) -> OwnedResource {
  return {.resource = IdFrom<ResourceId>(in.getResource()),
          .epoch = in.getEpoch()};
}

auto Read(wire::HeardPeer::Reader in) -> HeardPeer {
  return {.process = IdFrom<ProcessId>(in.getProcess()),
          .silence = FromMilliseconds(in.getSilenceMs())};
}

auto Read(wire::FreeSlots::Reader in) -> FreeSlots {
  return {.service = IdFrom<ServiceName>(in.getService()),
          .slots = in.getSlots()};
}

auto Read(wire::LogRecord::Reader in) -> LogRecord {
  return {.offset = in.getOffset(), .data = FromData(in.getData())};
}

auto Read(wire::JobStatus::Reader in) -> JobStatus {
  return {.job = IdFrom<JobId>(in.getJob()),
          .owned = in.getOwned(),
          .status_json = FromText(in.getStatusJson())};
}

auto Read(wire::Header::Reader in) -> Header {
  return {.name = FromText(in.getName()), .value = FromText(in.getValue())};
}

template <typename Item, typename ListReader>
auto ReadList(ListReader in) -> std::vector<Item> {
  std::vector<Item> items;
  for (const auto item : in) {
    items.push_back(Read(item));
  }
  return items;
}

auto Read(wire::PeerState::Reader in) -> PeerState {
  return {.process = IdFrom<ProcessId>(in.getProcess()),
          .incarnation = in.getIncarnation(),
          .host = FromText(in.getHost()),
          .role = FromWire(in.getRole()),
          .http_address = FromText(in.getHttpAddress()),
          .rpc_address = FromText(in.getRpcAddress()),
          .failure_domain = IdFrom<FailureDomain>(in.getFailureDomain()),
          .log_head = in.getLogHead(),
          .log_age = FromMilliseconds(in.getLogAgeMs()),
          .owned = ReadList<OwnedResource>(in.getOwned()),
          .heard = ReadList<HeardPeer>(in.getHeard()),
          .draining = in.getDraining(),
          .free_slots = ReadList<FreeSlots>(in.getFreeSlots())};
}

}  // namespace

auto Write(const HeartbeatRequest& in, wire::Peer::HeartbeatParams::Builder out)
    -> void {
  Write(in.sender, out.initSender());
}

auto Write(const WitnessRequest& in, wire::Peer::WitnessParams::Builder out)
    -> void {
  out.setResource(ToText(in.resource.Text()));
  out.setEpoch(in.epoch);
}

auto Write(const ReadRecordsRequest& in,
           wire::Peer::ReadRecordsParams::Builder out) -> void {
  out.setFrom(in.from);
  out.setMax(in.max);
}

auto Write(const JobStatusRequest& in, wire::Peer::JobStatusParams::Builder out)
    -> void {
  auto jobs = out.initJobs(in.jobs.size());
  for (unsigned i = 0; i < in.jobs.size(); ++i) {
    jobs.set(i, ToText(in.jobs[i].Text()));
  }
}

auto Write(const ListJobsRequest& in, wire::Peer::ListJobsParams::Builder out)
    -> void {
  out.setTeam(ToText(in.team.Text()));
  out.setCursor(ToText(in.cursor));
  out.setMax(in.max);
}

auto Write(const ForwardRequest& in,
           wire::Peer::ForwardRequestParams::Builder out) -> void {
  auto request = out.initRequest();
  request.setService(ToText(in.service.Text()));
  request.setTeam(ToText(in.team.Text()));
  request.setProfile(ToText(in.profile.Text()));
  request.setRequestId(ToText(in.request_id.Text()));
  request.setDeadlineLeftMs(ToMilliseconds(in.deadline_left));
  request.setIdempotent(in.idempotent);
  request.setBody(ToData(in.body));
  WriteList(in.headers, request.initHeaders(in.headers.size()));
}

auto Write(const ExplainRequest& in, wire::Peer::ExplainParams::Builder out)
    -> void {
  out.setKind(ToText(in.kind));
  out.setId(ToText(in.id));
}

auto Write(const HeartbeatResponse& in,
           wire::Peer::HeartbeatResults::Builder out) -> void {
  Write(in.callee, out.initCallee());
}

auto Write(const WitnessResponse& in, wire::Peer::WitnessResults::Builder out)
    -> void {
  out.setHighestSeen(in.highest_seen);
}

auto Write(const ReadRecordsResponse& in,
           wire::Peer::ReadRecordsResults::Builder out) -> void {
  WriteList(in.records, out.initRecords(in.records.size()));
  out.setFirst(in.first);
  out.setNext(in.next);
}

auto Write(const JobStatusResponse& in,
           wire::Peer::JobStatusResults::Builder out) -> void {
  WriteList(in.jobs, out.initJobs(in.jobs.size()));
}

auto Write(const ListJobsResponse& in, wire::Peer::ListJobsResults::Builder out)
    -> void {
  WriteList(in.jobs, out.initJobs(in.jobs.size()));
  out.setNextCursor(ToText(in.next_cursor));
}

auto Write(const ForwardResponse& in,
           wire::Peer::ForwardRequestResults::Builder out) -> void {
  auto answer = out.initAnswer();
  answer.setVerdict(ToWire(in.verdict));
  answer.setStatus(in.status);
  WriteList(in.headers, answer.initHeaders(in.headers.size()));
  answer.setBody(ToData(in.body));
  answer.setReason(ToText(in.reason));
}

auto Write(const ExplainResponse& in, wire::Peer::ExplainResults::Builder out)
    -> void {
  out.setJson(ToText(in.json));
}

auto Read(wire::Peer::HeartbeatParams::Reader in) -> HeartbeatRequest {
  return {.sender = Read(in.getSender())};
}

auto Read(wire::Peer::WitnessParams::Reader in) -> WitnessRequest {
  return {.resource = IdFrom<ResourceId>(in.getResource()),
          .epoch = in.getEpoch()};
}

auto Read(wire::Peer::ReadRecordsParams::Reader in) -> ReadRecordsRequest {
  return {.from = in.getFrom(), .max = in.getMax()};
}

auto Read(wire::Peer::JobStatusParams::Reader in) -> JobStatusRequest {
  JobStatusRequest request;
  for (const auto job : in.getJobs()) {
    request.jobs.push_back(IdFrom<JobId>(job));
  }
  return request;
}

auto Read(wire::Peer::ListJobsParams::Reader in) -> ListJobsRequest {
  return {.team = IdFrom<TeamId>(in.getTeam()),
          .cursor = FromText(in.getCursor()),
          .max = in.getMax()};
}

auto Read(wire::Peer::ForwardRequestParams::Reader in) -> ForwardRequest {
  const auto request = in.getRequest();
  return {.service = IdFrom<ServiceName>(request.getService()),
          .team = IdFrom<TeamId>(request.getTeam()),
          .profile = IdFrom<ProfileName>(request.getProfile()),
          .request_id = IdFrom<RequestId>(request.getRequestId()),
          .deadline_left = FromMilliseconds(request.getDeadlineLeftMs()),
          .idempotent = request.getIdempotent(),
          .body = FromData(request.getBody()),
          .headers = ReadList<Header>(request.getHeaders())};
}

auto Read(wire::Peer::ExplainParams::Reader in) -> ExplainRequest {
  return {.kind = FromText(in.getKind()), .id = FromText(in.getId())};
}

auto Read(wire::Peer::HeartbeatResults::Reader in) -> HeartbeatResponse {
  return {.callee = Read(in.getCallee())};
}

auto Read(wire::Peer::WitnessResults::Reader in) -> WitnessResponse {
  return {.highest_seen = in.getHighestSeen()};
}

auto Read(wire::Peer::ReadRecordsResults::Reader in) -> ReadRecordsResponse {
  return {.records = ReadList<LogRecord>(in.getRecords()),
          .first = in.getFirst(),
          .next = in.getNext()};
}

auto Read(wire::Peer::JobStatusResults::Reader in) -> JobStatusResponse {
  return {.jobs = ReadList<JobStatus>(in.getJobs())};
}

auto Read(wire::Peer::ListJobsResults::Reader in) -> ListJobsResponse {
  return {.jobs = ReadList<JobStatus>(in.getJobs()),
          .next_cursor = FromText(in.getNextCursor())};
}

auto Read(wire::Peer::ForwardRequestResults::Reader in) -> ForwardResponse {
  const auto answer = in.getAnswer();
  return {.verdict = FromWire(answer.getVerdict()),
          .status = answer.getStatus(),
          .headers = ReadList<Header>(answer.getHeaders()),
          .body = FromData(answer.getBody()),
          .reason = FromText(answer.getReason())};
}

auto Read(wire::Peer::ExplainResults::Reader in) -> ExplainResponse {
  return {.json = FromText(in.getJson())};
}

}  // namespace shallotbank::rpc
