#include "cell/topic_digest.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "json/parse.h"

namespace shallotbank::cell {
namespace {

using Json = nlohmann::json;

/// Over 20 s of records of the largest known cell, which is how long the store
/// keeps them; some 2 MB.
constexpr std::size_t kMaxRecords = 16'384;
/// A page takes 30 ms on a link of 20 Mbit/s.
constexpr std::size_t kMaxPageBytes = 64 << 10;
/// Size of a record beside its key and value.
constexpr std::size_t kRecordOverhead = 16;

auto SizeOf(const DigestRecord& record) -> std::size_t {
  return record.key.size() + kRecordOverhead +
         (record.value ? record.value->size() : 0);
}

}  // namespace

auto EncodeDigestPage(const DigestPage& page) -> std::string {
  auto rows = Json::array();
  for (const auto& record : page.records) {
    auto row = Json::array({record.offset, record.key});
    if (record.value) {
      row.push_back(Json::binary({record.value->begin(), record.value->end()}));
    }
    rows.push_back(std::move(row));
  }
  std::string bytes;
  Json::to_msgpack(
      Json::array({page.next, page.end, page.age.count(), std::move(rows)}),
      bytes);
  return bytes;
}

auto DecodeDigestPage(std::string_view bytes) -> std::optional<DigestPage> {
  try {
    const auto document = json::ParseMessagePack(bytes);
    DigestPage page;
    page.next = document.at(0).get<Offset>();
    page.end = document.at(1).get<Offset>();
    page.age = std::chrono::milliseconds(document.at(2).get<std::int64_t>());
    for (const auto& row : document.at(3)) {
      auto& record = page.records.emplace_back();
      record.offset = row.at(0).get<Offset>();
      record.key = row.at(1).get<std::string>();
      if (row.size() > 2) {
        const auto& value = row.at(2).get_binary();
        record.value.emplace(value.begin(), value.end());
      }
    }
    if (page.age < std::chrono::milliseconds::zero()) {
      return std::nullopt;
    }
    return page;
  } catch (const Json::exception&) {
    return std::nullopt;  // The caller reads the topic from the store.
  }
}

auto TopicDigest::Restart(Offset position) -> void {
  this->is_empty = false;
  this->first = position;
  this->end = position;
  this->records.clear();
}

auto TopicDigest::Append(Offset offset, std::optional<DigestRecord> record)
    -> void {
  if (this->is_empty) {
    return;
  }
  this->end = offset + 1;
  if (!record) {
    return;
  }
  this->records.push_back(std::move(*record));
  if (this->records.size() > kMaxRecords) {
    this->first = this->records.front().offset + 1;
    this->records.pop_front();
  }
}

auto TopicDigest::Clear() -> void {
  this->is_empty = true;
  this->records.clear();
}

auto TopicDigest::Read(Offset from) const -> std::optional<DigestPage> {
  if (this->is_empty || from < this->first) {
    return std::nullopt;
  }
  DigestPage page;
  page.end = this->end;
  page.next = std::max(from, this->end);
  const auto start =
      std::lower_bound(this->records.begin(), this->records.end(), from,
                       [](const DigestRecord& record, Offset offset) {
                         return record.offset < offset;
                       });
  std::size_t bytes = 0;
  for (auto record = start; record != this->records.end(); ++record) {
    if (bytes > kMaxPageBytes) {
      page.next = record->offset;
      break;
    }
    bytes += SizeOf(*record);
    page.records.push_back(*record);
  }
  return page;
}

}  // namespace shallotbank::cell
