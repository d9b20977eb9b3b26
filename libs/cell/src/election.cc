#include "cell/election.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "json/parse.h"

namespace shallotbank::cell {
namespace {

using Json = nlohmann::json;

/// Maximum age of the view of the topic on which a claim is based.
constexpr std::chrono::seconds kMaxViewAge(2);
/// Delay after a failed append; the store may be rejecting calls.
constexpr std::chrono::milliseconds kRetryDelay(150);

/// Delay before a release is retried; short, because the cell has no leader
/// until it succeeds.
constexpr std::chrono::milliseconds kReleaseRetryDelay(20);

}  // namespace

auto EncodeLeaderRecord(const LeaderRecord& record) -> std::string {
  return Json{{"kind", static_cast<int>(record.kind)},
              {"host", record.host},
              {"process", record.process},
              {"epoch", record.epoch},
              {"former_authority_ms", record.former_authority.count()}}
      .dump();
}

auto DecodeLeaderRecord(const std::string& bytes)
    -> std::optional<LeaderRecord> {
  try {
    const auto document = json::Parse(bytes);
    LeaderRecord record;
    const int kind = document.at("kind");
    if (kind < 0 || kind > static_cast<int>(LeaderRecord::Kind::kRelease)) {
      return std::nullopt;
    }
    record.kind = static_cast<LeaderRecord::Kind>(kind);
    record.host = document.at("host").get<std::string>();
    record.process = document.at("process").get<std::string>();
    record.epoch = document.at("epoch");
    // Earlier releases do not write it.
    record.former_authority =
        std::chrono::milliseconds(std::clamp<std::int64_t>(
            document.value("former_authority_ms", std::int64_t{0}), 0,
            std::chrono::milliseconds(kLeaseAuthority).count()));
    return record;
  } catch (const Json::exception&) {
    return std::nullopt;  // The caller logs the skipped record.
  }
}

Election::Election(std::string host, std::string process, Duration claim_delay)
    : host(std::move(host)),
      process(std::move(process)),
      claim_delay(claim_delay) {}

auto Election::ApplyRecord(const LeaderRecord& record, Epoch epoch) -> void {
  if (epoch < this->leader_epoch) {
    return;  // A renewal that was appended after a newer claim.
  }
  this->leader_epoch = epoch;
  if (epoch != this->releasing_epoch ||
      record.kind == LeaderRecord::Kind::kRelease) {
    this->releasing_epoch = 0;
  }
  if (this->own_epoch != 0 && this->own_epoch != epoch) {
    this->own_epoch = 0;
  }
  if (record.kind == LeaderRecord::Kind::kRelease) {
    this->leader.clear();
    if (this->own_epoch == epoch) {
      this->own_epoch = 0;
    }
    return;
  }
  this->leader = record.host;
  this->leader_process = record.process;
}

auto Election::OnRecord(Offset offset,
                        const LeaderRecord& record,
                        TimePoint now) -> void {
  this->end = std::max(this->end, offset + 1);
  const bool is_claim = record.kind == LeaderRecord::Kind::kClaim;
  const Epoch epoch = is_claim ? offset + 1 : record.epoch;
  if (epoch >= this->leader_epoch) {
    this->last_renewal_seen = now;
    const bool is_own =
        record.host == this->host && record.process == this->process;
    const std::pair process(record.host, record.process);
    if (record.kind == LeaderRecord::Kind::kRelease) {
      this->former_leaders.erase(process);
    } else if (!is_own) {
      this->former_leaders[process] = now;
    }
    if (!is_own) {
      this->unread_authority_end = std::max<TimePoint>(
          this->unread_authority_end, now + record.former_authority);
    }
    std::erase_if(this->former_leaders, [now](const auto& former) {
      return now - former.second >= kLeaseAuthority;
    });
  }
  this->ApplyRecord(record, epoch);
}

auto Election::OnReadToEnd(Offset end, TimePoint now) -> void {
  this->end = std::max(this->end, end);
  if (!this->is_caught_up) {
    this->is_caught_up = true;
    this->last_renewal_seen = now;
  }
  // A gap in this host's own reads does not mean that the leader is
  // unresponsive.
  if (now - this->last_read > kLeaderTimeout && !this->leader.empty()) {
    this->last_renewal_seen = now;
  }
  this->last_read = now;
}

auto Election::OnAppended(Offset offset,
                          const LeaderRecord& record,
                          TimePoint sent) -> void {
  this->is_append_in_flight = false;
  this->OnRecord(offset, record, sent);
  if (record.kind == LeaderRecord::Kind::kClaim &&
      this->leader_epoch == offset + 1) {
    this->own_epoch = offset + 1;
  }
  this->renewed_at = sent;
  this->next_append = sent + kRenewInterval;
}

auto Election::OnAppendFailed(TimePoint now) -> void {
  this->is_append_in_flight = false;
  this->next_append =
      now + (this->releasing_epoch != 0 ? Duration(kReleaseRetryDelay)
                                        : Duration(kRetryDelay));
}

auto Election::OnFenced() -> void {
  this->own_epoch = 0;
}

auto Election::NextAppend(TimePoint now) -> std::optional<LeaderAppend> {
  if (this->is_append_in_flight || !this->is_caught_up ||
      now < this->next_append) {
    return std::nullopt;
  }
  LeaderAppend append{this->end, {}};
  append.record.host = this->host;
  append.record.process = this->process;
  append.record.former_authority = this->FormerAuthority(now);
  if (this->releasing_epoch != 0) {
    append.record.kind = LeaderRecord::Kind::kRelease;
    append.record.epoch = this->releasing_epoch;
    this->is_append_in_flight = true;
    return append;
  }
  if (this->is_retired) {
    return std::nullopt;
  }
  if (this->IsLeader()) {
    append.record.kind = LeaderRecord::Kind::kRenewal;
    append.record.epoch = this->own_epoch;
    this->is_append_in_flight = true;
    return append;
  }
  // A claim by this host other than the current one belongs to an ended
  // process, or to an append of this process whose answer was lost.
  const bool is_vacant = this->leader.empty() || this->leader == this->host ||
                         this->is_leader_gone;
  const bool yielded_recently =
      this->yielded_at != TimePoint() && now - this->yielded_at < kHandicap;
  const Duration handicap =
      this->is_handicapped || yielded_recently ? kHandicap : Duration();
  const auto claim_timeout =
      (is_vacant ? Duration() : kLeaderTimeout) + this->claim_delay + handicap;
  const bool is_view_recent = now - this->last_read < kMaxViewAge;
  if (!is_view_recent || now - this->last_renewal_seen < claim_timeout) {
    return std::nullopt;
  }
  append.record.kind = LeaderRecord::Kind::kClaim;
  this->is_append_in_flight = true;
  return append;
}

auto Election::Yield(TimePoint now) -> void {
  this->yielded_at = now;
  this->releasing_epoch = std::exchange(this->own_epoch, 0);
  this->next_append = TimePoint();
}

auto Election::Retire(TimePoint now) -> bool {
  this->is_retired = true;
  this->Yield(now);
  return this->releasing_epoch != 0;
}

auto Election::HasLeaseAuthority(TimePoint now) const -> bool {
  return this->IsLeader() && now - this->renewed_at < kLeaseAuthority;
}

auto Election::HasStartAuthority(TimePoint now) const -> bool {
  return this->IsLeader() && now - this->renewed_at < kStartAuthority;
}

auto Election::FormerAuthority(TimePoint now) const
    -> std::chrono::milliseconds {
  const auto end = this->PreviousAuthorityEnd(
      [](const std::string&, const std::string&) { return false; }, now);
  return std::chrono::ceil<std::chrono::milliseconds>(end - now);
}

auto Election::PreviousAuthorityEnd(
    const std::function<bool(const std::string&, const std::string&)>&
        has_ended,
    TimePoint now) const -> TimePoint {
  auto end = std::max(now, this->unread_authority_end);
  for (const auto& [former, renewal_seen] : this->former_leaders) {
    const auto& [former_host, former_process] = former;
    // An earlier process on this host has ended.
    if (former_host != this->host && !has_ended(former_host, former_process)) {
      end = std::max<TimePoint>(end, renewal_seen + kLeaseAuthority);
    }
  }
  return end;
}

}  // namespace shallotbank::cell
