#include "cell/order_carriers.h"

#include <algorithm>
#include <string_view>

namespace shallotbank::cell {
namespace {

/// Calls within this time share a batch. A start is delayed by up to this time.
constexpr std::chrono::milliseconds kFlushInterval(10);
constexpr std::size_t kMaxCallsPerBatch = 64;
/// Well below the size of a request that a host accepts.
constexpr std::size_t kMaxBatchBytes = 256 << 10;
constexpr int kMaxBatchesInFlight = 2;
/// Carriers report the end of each call, also of one that timed out. Covers the
/// way of the report.
constexpr std::chrono::milliseconds kReportMargin(500);
constexpr std::size_t kWorkersPerCarrier = 64;
/// A single carrier would save the leader little more than it costs the cell to
/// depend on another host.
constexpr std::size_t kMinCarriers = 2;

/// FNV-1a: the same on every host and build.
auto Hash(std::string_view text, std::uint64_t hash = 14695981039346656037ULL)
    -> std::uint64_t {
  for (const auto c : text) {
    hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
  }
  return hash;
}

/// FNV-1a alone distributes the last characters poorly.
auto Mix(std::uint64_t hash) -> std::uint64_t {
  hash = (hash ^ (hash >> 33U)) * 0xff51afd7ed558ccdULL;
  hash = (hash ^ (hash >> 33U)) * 0xc4ceb9fe1a85ec53ULL;
  return hash ^ (hash >> 33U);
}

/// Writes numbers in little-endian order and texts after their length.
class Writer {
 public:
  auto Number(std::uint64_t value) -> void {
    for (int i = 0; i < 8; i++) {
      this->bytes.push_back(static_cast<char>((value >> (8 * i)) & 0xffU));
    }
  }
  auto Text(std::string_view text) -> void {
    this->Number(text.size());
    this->bytes.append(text);
  }
  auto Take() -> std::string { return std::move(this->bytes); }

 private:
  std::string bytes;
};

class Reader {
 public:
  explicit Reader(std::string_view rest) : rest(rest) {}

  auto Number() -> std::uint64_t {
    if (this->rest.size() < 8) {
      this->is_valid = false;
      return 0;
    }
    std::uint64_t value = 0;
    for (int i = 7; i >= 0; i--) {
      value = value << 8U | static_cast<unsigned char>(
                                this->rest[static_cast<std::size_t>(i)]);
    }
    this->rest.remove_prefix(8);
    return value;
  }
  auto Text() -> std::string {
    const auto size = this->Number();
    if (size > this->rest.size()) {
      this->is_valid = false;
      return {};
    }
    std::string text(this->rest.substr(0, size));
    this->rest.remove_prefix(size);
    return text;
  }
  /// Reads the number of elements that follow.
  auto Count() -> std::uint64_t {
    const auto count = this->Number();
    // Each element takes at least one byte.
    this->is_valid = this->is_valid && count <= this->rest.size();
    return this->is_valid ? count : 0;
  }
  auto IsValid() const -> bool { return this->is_valid; }
  auto IsComplete() const -> bool {
    return this->is_valid && this->rest.empty();
  }

 private:
  std::string_view rest;
  bool is_valid = true;
};

auto WriteCall(Writer& writer, const CarriedCall& call) -> void {
  writer.Number(call.id);
  writer.Text(call.worker);
  writer.Text(call.method);
  writer.Text(call.url);
  writer.Number(call.headers.size());
  for (const auto& [name, value] : call.headers) {
    writer.Text(name);
    writer.Text(value);
  }
  writer.Text(call.body);
  writer.Number(static_cast<std::uint64_t>(call.timeout.count()));
}

auto ReadCall(Reader& reader) -> CarriedCall {
  CarriedCall call;
  call.id = reader.Number();
  call.worker = reader.Text();
  call.method = reader.Text();
  call.url = reader.Text();
  const auto headers = reader.Count();
  for (std::uint64_t i = 0; i < headers && reader.IsValid(); i++) {
    auto name = reader.Text();
    call.headers.emplace_back(std::move(name), reader.Text());
  }
  call.body = reader.Text();
  call.timeout = std::chrono::milliseconds(
      static_cast<std::chrono::milliseconds::rep>(reader.Number()));
  return call;
}

auto ReadReply(Reader& reader) -> CarriedReply {
  CarriedReply reply;
  reply.id = reader.Number();
  const auto outcome = reader.Number();
  reply.outcome =
      outcome <= static_cast<std::uint64_t>(CarriedOutcome::kAnsweredRepeat)
          ? static_cast<CarriedOutcome>(outcome)
          : CarriedOutcome::kMayHaveRun;
  reply.status = static_cast<int>(reader.Number());
  reply.body = reader.Text();
  return reply;
}

}  // namespace

auto EncodeCallBatch(const CallBatch& batch) -> std::string {
  Writer writer;
  writer.Number(static_cast<std::uint64_t>(batch.epoch));
  writer.Text(batch.leader);
  writer.Number(batch.calls.size());
  for (const auto& call : batch.calls) {
    WriteCall(writer, call);
  }
  return writer.Take();
}

auto DecodeCallBatch(const std::string& bytes) -> std::optional<CallBatch> {
  Reader reader(bytes);
  CallBatch batch;
  batch.epoch = static_cast<Epoch>(reader.Number());
  batch.leader = reader.Text();
  const auto count = reader.Count();
  for (std::uint64_t i = 0; i < count && reader.IsValid(); i++) {
    batch.calls.push_back(ReadCall(reader));
  }
  return reader.IsComplete() ? std::optional(std::move(batch)) : std::nullopt;
}

auto EncodeReplyBatch(const ReplyBatch& batch) -> std::string {
  Writer writer;
  writer.Number(static_cast<std::uint64_t>(batch.epoch));
  writer.Number(batch.replies.size());
  for (const auto& reply : batch.replies) {
    writer.Number(reply.id);
    writer.Number(static_cast<std::uint64_t>(reply.outcome));
    writer.Number(static_cast<std::uint64_t>(reply.status));
    writer.Text(reply.body);
  }
  return writer.Take();
}

auto DecodeReplyBatch(const std::string& bytes) -> std::optional<ReplyBatch> {
  Reader reader(bytes);
  ReplyBatch batch;
  batch.epoch = static_cast<Epoch>(reader.Number());
  const auto count = reader.Count();
  for (std::uint64_t i = 0; i < count && reader.IsValid(); i++) {
    batch.replies.push_back(ReadReply(reader));
  }
  return reader.IsComplete() ? std::optional(std::move(batch)) : std::nullopt;
}

auto ChooseCarriers(std::vector<std::string> candidates, std::size_t workers)
    -> std::vector<std::string> {
  const auto wanted = workers / kWorkersPerCarrier;
  if (wanted < kMinCarriers || candidates.size() < kMinCarriers) {
    return {};
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const auto& left, const auto& right) {
              return std::pair(Mix(Hash(left)), left) <
                     std::pair(Mix(Hash(right)), right);
            });
  candidates.resize(std::min(candidates.size(), wanted));
  return candidates;
}

auto CarrierOf(const std::string& worker,
               const std::vector<std::string>& carriers) -> std::string {
  const auto own = Hash(worker);
  std::string chosen;
  std::uint64_t highest = 0;
  for (const auto& carrier : carriers) {
    const auto weight = Mix(Hash(carrier, own));
    if (chosen.empty() || weight > highest) {
      chosen = carrier;
      highest = weight;
    }
  }
  return chosen;
}

auto CarriedCalls::Add(const std::string& carrier,
                       CarriedCall call,
                       TimePoint now) -> void {
  const auto id = call.id;
  const auto deadline = now + call.timeout;
  this->carriers[carrier].pending.push_back(id);
  this->calls[id] = {std::move(call), carrier, deadline, Stage::kPending};
}

auto CarriedCalls::TakeBatches(TimePoint now) -> std::vector<Batch> {
  std::vector<Batch> batches;
  if (now < this->next_flush) {
    return batches;
  }
  this->next_flush = now + kFlushInterval;
  for (auto& [endpoint, carrier] : this->carriers) {
    while (!carrier.pending.empty() &&
           carrier.batches_in_flight < kMaxBatchesInFlight) {
      Batch batch;
      BatchInFlight in_flight;
      batch.number = this->next_batch++;
      batch.carrier = in_flight.carrier = endpoint;
      std::size_t bytes = 0;
      while (!carrier.pending.empty() &&
             batch.calls.size() < kMaxCallsPerBatch && bytes < kMaxBatchBytes) {
        const auto id = carrier.pending.front();
        carrier.pending.pop_front();
        const auto found = this->calls.find(id);
        if (found == this->calls.end()) {
          continue;
        }
        auto& outstanding = found->second;
        outstanding.stage = Stage::kSent;
        batch.calls.push_back(outstanding.call);
        batch.calls.back().timeout = Remaining(outstanding.deadline, now);
        bytes += outstanding.call.body.size();
        in_flight.ids.push_back(id);
      }
      if (batch.calls.empty()) {
        break;
      }
      carrier.batches_in_flight++;
      this->batches[batch.number] = std::move(in_flight);
      batches.push_back(std::move(batch));
    }
  }
  return batches;
}

auto CarriedCalls::Remaining(TimePoint deadline, TimePoint now)
    -> std::chrono::milliseconds {
  return std::max(std::chrono::ceil<std::chrono::milliseconds>(deadline - now),
                  std::chrono::milliseconds(1));
}

auto CarriedCalls::FinishBatch(std::uint64_t batch) -> BatchInFlight {
  auto node = this->batches.extract(batch);
  if (node.empty()) {
    return {};
  }
  this->carriers[node.mapped().carrier].batches_in_flight--;
  return std::move(node.mapped());
}

auto CarriedCalls::OnAccepted(std::uint64_t batch,
                              const std::string& process,
                              TimePoint now) -> Lost {
  Lost lost;
  const auto finished = this->FinishBatch(batch);
  auto& carrier = this->carriers[finished.carrier];
  if (!carrier.process.empty() && carrier.process != process) {
    lost = this->EndCalls(now, [&finished](const Outstanding& one) {
      return one.carrier == finished.carrier && one.stage == Stage::kAccepted;
    });
  }
  carrier.process = process;
  for (const auto id : finished.ids) {
    const auto found = this->calls.find(id);
    if (found != this->calls.end()) {
      found->second.stage = Stage::kAccepted;
    }
  }
  return lost;
}

auto CarriedCalls::OnFailed(std::uint64_t batch,
                            bool may_have_run,
                            TimePoint now) -> Lost {
  const auto finished = this->FinishBatch(batch);
  if (!may_have_run) {
    for (const auto id : finished.ids) {
      const auto found = this->calls.find(id);
      if (found != this->calls.end()) {
        found->second.stage = Stage::kPending;
      }
    }
  }
  return this->OnLost(finished.carrier, now);
}

auto CarriedCalls::OnLost(const std::string& carrier, TimePoint now) -> Lost {
  this->carriers[carrier].pending.clear();
  return this->EndCalls(now, [&carrier](const Outstanding& one) {
    return one.carrier == carrier;
  });
}

auto CarriedCalls::EndCalls(
    TimePoint now,
    const std::function<bool(const Outstanding&)>& is_affected) -> Lost {
  Lost lost;
  for (auto at = this->calls.begin(); at != this->calls.end();) {
    auto& one = at->second;
    if (!is_affected(one)) {
      ++at;
      continue;
    }
    one.call.timeout = Remaining(one.deadline, now);
    auto& list = one.stage == Stage::kPending ? lost.not_run : lost.unknown;
    list.push_back(std::move(one.call));
    at = this->calls.erase(at);
  }
  return lost;
}

auto CarriedCalls::OnReply(std::uint64_t id, TimePoint now)
    -> std::optional<CarriedCall> {
  auto node = this->calls.extract(id);
  if (node.empty()) {
    return std::nullopt;
  }
  auto& one = node.mapped();
  one.call.timeout = Remaining(one.deadline, now);
  return std::move(one.call);
}

auto CarriedCalls::OverdueCarrier(TimePoint now) const
    -> std::optional<std::string> {
  for (const auto& [id, one] : this->calls) {
    if (now > one.deadline + kReportMargin) {
      return one.carrier;
    }
  }
  return std::nullopt;
}

}  // namespace shallotbank::cell
