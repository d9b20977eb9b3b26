#pragma once

#include <string>
#include <utility>
#include <vector>

#include "journal/codec.h"
#include "journal/replica.h"

namespace shallotbank::journal {

inline constexpr WallTime kStart{std::chrono::hours(500'000)};

/// The encoded batch; empty, and therefore malformed, if it cannot be encoded.
inline auto EncodeOrEmpty(const std::string& writer,
                          std::uint64_t sequence,
                          std::vector<Record> records,
                          WallTime at = kStart) -> std::string {
  std::string bytes;
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_ASSIGN(bytes, EncodeBatch({ProcessId(writer), sequence, at,
                                              std::move(records)}));
        return {};
      },
      [] {});
  return bytes;
}

/// Returns `field: message` of the decoding error, or an empty string if the
/// bytes are a batch, which is then stored in `batch`.
inline auto DecodeError(std::string_view bytes, Batch* batch = nullptr)
    -> std::string {
  std::string text;
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_AUTO(decoded, DecodeBatch(bytes));
        if (batch != nullptr) {
          *batch = std::move(decoded);
        }
        return {};
      },
      [&](const CodecError& error) {
        text = error.field;
        text += ": " + error.message;
      },
      [&] { text = "an error without details"; });
  return text;
}

inline auto SmallJob(const std::string& id) -> JobSpec {
  JobSpec spec;
  spec.id = JobId(id);
  spec.team = TeamId("t");
  spec.profile = ProfileName("p");
  spec.queue = QueueName("q");
  spec.shard = ShardId("shard-0");
  spec.need = {1000, 512, 0};
  spec.tasks = 2;
  return spec;
}

inline auto PutItem(configuration::ItemKind kind,
                    const std::string& name,
                    const std::string& value)
    -> configuration::ConfigurationChange {
  return {kind, name, value};
}

/// Creates an organisation `o` and a team `t` with a limit of `tasks` tasks.
inline auto TeamChanges(std::int64_t tasks, std::int64_t shards = 1)
    -> std::vector<configuration::ConfigurationChange> {
  using configuration::ItemKind;
  return {PutItem(ItemKind::kPolicy, "policy",
                  R"({"shards":)" + std::to_string(shards) + "}"),
          PutItem(ItemKind::kOrganisation, "o", R"({"name":"o"})"),
          PutItem(ItemKind::kTeam, "t",
                  R"({"name":"t","organisation":"o","limit":{"tasks":)" +
                      std::to_string(tasks) + "}}")};
}

}  // namespace shallotbank::journal
