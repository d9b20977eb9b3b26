#pragma once

// A stand-in for the platform's metadata store, after PROTOCOL.md: append,
// read, newest; producers with epoch and sequence; the limits of a record and
// of a call.

#include <condition_variable>
#include <vector>

#include <nlohmann/json.hpp>

#include "http.h"
#include "wire.h"

namespace review {

using Json = nlohmann::json;

inline constexpr std::size_t kRecordBytes = 262144;
inline constexpr std::size_t kCallBytes = 2097152;

class Store {
 public:
  /// Answers calls in place of the sound store.
  using Trouble = std::function<Response(Store&, const Request&)>;

  Store()
      : server(
            [this](const Request& request) { return this->Handle(request); }) {}

  auto Endpoint() const -> std::string { return this->server.Endpoint(); }
  auto SetTrouble(Trouble trouble) -> void {
    const std::lock_guard lock(this->trouble_mutex);
    this->trouble = std::make_shared<Trouble>(std::move(trouble));
  }
  auto Put(const std::string& topic,
           const std::string& key,
           const std::string& value) -> void {
    const std::lock_guard lock(this->mutex);
    this->Add(this->topics[topic],
              std::string(1, static_cast<char>(key.size())) + key + value);
    this->changed.notify_all();
  }
  auto Newest(const std::string& topic, const std::string& key) -> std::string {
    const std::lock_guard lock(this->mutex);
    const auto found = this->topics[topic].newest.find(key);
    return found == this->topics[topic].newest.end() ? ""
                                                     : found->second.second;
  }
  /// Carries out a call as the sound store does.
  auto Execute(const Request& request) -> Response {
    if (request.path == wire::kLogAppend) {
      return this->Append(request);
    }
    if (request.path == wire::kLogRead) {
      return this->Read(request);
    }
    if (request.path == wire::kLogNewest) {
      return this->ListNewest(request);
    }
    return {404, "{}"};
  }

 private:
  struct Producer {
    std::uint64_t epoch = 0;
    std::optional<std::uint64_t> last;  ///< Sequence number.
    std::map<std::uint64_t, std::string> answers;
  };
  struct Topic {
    std::vector<std::string> records;
    std::map<std::string, std::pair<std::uint64_t, std::string>> newest;
    std::map<std::string, Producer> producers;
  };

  static auto BigEndian(std::uint64_t value, int bytes) -> std::string {
    std::string text;
    for (int i = bytes - 1; i >= 0; i--) {
      text.push_back(static_cast<char>(value >> (8 * i) & 0xff));
    }
    return text;
  }

  static auto Base64(const std::string& bytes) -> std::string {
    static constexpr const char* kDigits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
      std::uint32_t group = 0;
      for (std::size_t j = 0; j < 3; j++) {
        group = group << 8 |
                (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j])
                                      : 0U);
      }
      for (std::size_t j = 0; j < 4; j++) {
        text.push_back(i + j <= bytes.size()
                           ? kDigits[group >> (18 - 6 * j) & 0x3f]
                           : '=');
      }
    }
    return text;
  }

  auto Handle(const Request& request) -> Response {
    std::shared_ptr<Trouble> active;
    {
      const std::lock_guard lock(this->trouble_mutex);
      active = this->trouble;
    }
    return active ? (*active)(*this, request) : this->Execute(request);
  }

  auto Add(Topic& topic, const std::string& content) -> void {
    const auto size = static_cast<unsigned char>(content.at(0));
    const auto key = content.substr(1, size);
    const auto value = content.substr(1 + size);
    if (value.empty()) {
      topic.newest.erase(key);
    } else {
      topic.newest[key] = {topic.records.size(), value};
    }
    topic.records.push_back(content);
  }

  auto Append(const Request& request) -> Response {
    std::this_thread::sleep_for(milliseconds(4));  // appendMs
    const std::lock_guard lock(this->mutex);
    auto& topic = this->topics[request.Query("topic")];
    const auto end = topic.records.size();
    std::vector<std::string> contents;
    const auto& body = request.body;
    for (std::size_t at = 0; at + 4 <= body.size();) {
      std::size_t size = 0;
      for (int i = 0; i < 4; i++) {
        size = size << 8 | static_cast<unsigned char>(body[at + i]);
      }
      if (size > kRecordBytes || at + 4 + size > body.size()) {
        return {400, Json{{"error", "a record is too long"}}.dump()};
      }
      contents.push_back(body.substr(at + 4, size));
      at += 4 + size;
    }
    if (body.size() > kCallBytes + 4 * contents.size()) {
      return {400, Json{{"error", "the call is too long"}}.dump()};
    }
    if (!request.Query("at").empty() && request.Number("at") != end) {
      return {412, Json{{"end", end}}.dump()};
    }
    const auto name = request.Query("producer");
    const auto epoch = request.Number("epoch");
    const auto sequence = request.Number("seq");
    auto* producer = name.empty() ? nullptr : &topic.producers[name];
    if (producer != nullptr) {
      if (epoch < producer->epoch) {
        return {409, Json{{"reason", "fenced"}}.dump()};
      }
      if (epoch > producer->epoch) {
        *producer = {epoch, std::nullopt, {}};
      }
      const auto repeated = producer->answers.find(sequence);
      if (!contents.empty() && repeated != producer->answers.end()) {
        return {200, repeated->second};
      }
      if (!contents.empty() && producer->last &&
          sequence != *producer->last + 1) {
        return {409,
                Json{{"reason", "seq"}, {"seq", *producer->last + 1}}.dump()};
      }
    }
    for (const auto& content : contents) {
      this->Add(topic, content);
    }
    auto answer = Json{{"offset", end}, {"end", topic.records.size()}}.dump();
    if (producer != nullptr && !contents.empty()) {
      producer->last = sequence;
      producer->answers[sequence] = answer;
      while (producer->answers.size() > 5) {
        producer->answers.erase(producer->answers.begin());
      }
    }
    this->changed.notify_all();
    return {200, std::move(answer)};
  }

  auto Read(const Request& request) -> Response {
    std::unique_lock lock(this->mutex);
    auto& topic = this->topics[request.Query("topic")];
    const auto from = request.Number("from");
    this->changed.wait_for(lock, milliseconds(request.Number("waitMs")),
                           [&] { return topic.records.size() > from; });
    auto body = BigEndian(topic.records.size(), 8) + BigEndian(0, 8);
    constexpr std::size_t kMaxBytes = 1024 << 10;
    for (auto i = from; i < topic.records.size() && body.size() < kMaxBytes;
         i++) {
      body += BigEndian(topic.records[i].size(), 4) + topic.records[i];
    }
    return {200, std::move(body)};
  }

  auto ListNewest(const Request& request) -> Response {
    constexpr std::size_t kMaxItems = 500;
    const std::lock_guard lock(this->mutex);
    auto& topic = this->topics[request.Query("topic")];
    auto items = Json::array();
    auto one = topic.newest.upper_bound(request.Query(wire::kAfterKey));
    for (; one != topic.newest.end() && items.size() < kMaxItems; ++one) {
      items.push_back({{"key", one->first},
                       {"value", Base64(one->second.second)},
                       {"offset", one->second.first}});
    }
    return {200, Json{{"items", items},
                      {"truncated", one != topic.newest.end()},
                      {"end", topic.records.size()}}
                     .dump()};
  }

  std::mutex trouble_mutex;
  std::shared_ptr<Trouble> trouble;
  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, Topic> topics;
  Server server;  ///< Last: its handler uses the other members.
};

}  // namespace review
