#include "platform/log_tailer.h"

#include <algorithm>
#include <random>

#include <nlohmann/json.hpp>

#include "json/parse.h"

namespace shallotbank::platform {
namespace {

using nlohmann::json;

auto ReadOffset(const json& document, const char* field) -> Offset {
  const auto found = document.find(field);
  return found != document.end() && found->is_number_unsigned()
             ? found->get<Offset>()
             : 0;
}

auto ReadRecords(const json& document, LogRead& read) -> bool {
  const auto records = document.find("records");
  if (records == document.end() || !records->is_array()) {
    return false;
  }
  for (const auto& entry : *records) {
    if (!entry.is_object() || !entry.contains("data") ||
        !entry["data"].is_string()) {
      return false;
    }
    read.records.push_back(
        {ReadOffset(entry, "offset"), entry["data"].get<std::string>()});
  }
  return true;
}

}  // namespace

auto ParseLogRead(const http::Reply& reply) -> LogRead {
  LogRead read;
  if (reply.status != 200 && reply.status != 410) {
    return read;
  }
  const auto document = shallotbank::json::Parse(reply.body);
  if (!document.is_object()) {
    return read;
  }
  read.first = ReadOffset(document, "first");
  read.next = ReadOffset(document, "next");
  if (reply.status == 410) {
    read.outcome = LogRead::Outcome::kExpired;
  } else if (ReadRecords(document, read)) {
    read.outcome = LogRead::Outcome::kRead;
  }
  return read;
}

LogTailer::LogTailer(LogTailerOptions options, http::Client& client, Sink sink)
    : options(std::move(options)),
      client(client),
      sink(std::move(sink)),
      thread([this] { this->Run(); }) {}

LogTailer::~LogTailer() {
  {
    std::lock_guard lock(this->mutex);
    this->stopping = true;
  }
  this->wake.notify_all();
  this->thread.join();
}

auto LogTailer::Seek(Offset offset) -> void {
  std::lock_guard lock(this->mutex);
  this->position = offset;
}

auto LogTailer::Wake() -> void {
  {
    std::lock_guard lock(this->mutex);
    this->is_woken = true;
  }
  this->wake.notify_all();
}

auto LogTailer::Run() -> void {
  // Jitter spreads the reads of processes that lost the log at the same time.
  std::minstd_rand random(std::random_device{}());
  Duration backoff = this->options.poll_interval;
  while (true) {
    Offset from = 0;
    {
      std::lock_guard lock(this->mutex);
      if (this->stopping) {
        return;
      }
      from = this->position;
    }
    auto read = this->ReadOnce(from);
    const auto outcome = read.outcome;
    const auto next =
        read.records.empty() ? from : read.records.back().offset + 1;
    const bool more = outcome == LogRead::Outcome::kRead &&
                      !read.records.empty() && next < read.next;
    const bool accepted = this->sink(std::move(read));
    if (accepted && outcome == LogRead::Outcome::kRead) {
      std::lock_guard lock(this->mutex);
      // A Seek during the read takes precedence.
      this->position = this->position == from ? next : this->position;
    }
    if (outcome != LogRead::Outcome::kUnreachable) {
      backoff = this->options.poll_interval;
      if (!more || !accepted) {
        this->Sleep(backoff);
      }
      continue;
    }
    std::uniform_real_distribution<double> jitter(0.5, 1.0);
    this->Sleep(std::chrono::duration_cast<Duration>(backoff * jitter(random)));
    backoff = std::min(backoff * 2, this->options.max_backoff);
  }
}

auto LogTailer::ReadOnce(Offset from) -> LogRead {
  const auto sent_at = SystemClock().Now();
  const auto reply = this->client.SendAndWait(
      {.method = "GET",
       .url = this->options.stream_url + "?from=" + std::to_string(from) +
              "&max=" + std::to_string(this->options.max_records),
       .timeout = this->options.timeout,
       .max_response_bytes = 16 << 20});
  auto read = ParseLogRead(reply);
  read.sent_at = sent_at;
  read.from = from;
  return read;
}

auto LogTailer::Sleep(Duration time) -> void {
  std::unique_lock lock(this->mutex);
  this->wake.wait_for(lock, time,
                      [this] { return this->stopping || this->is_woken; });
  this->is_woken = false;
}

}  // namespace shallotbank::platform
