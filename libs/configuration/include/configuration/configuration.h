#pragma once

#include <map>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "configuration/items.h"

namespace shallotbank::configuration {

/// A validated configuration: every reference resolves to an item. Only
/// `ParseConfiguration` creates one, and only `Apply` and `ApplyTo` modify it.
class Configuration {
 public:
  auto Organisations() const -> const std::map<OrganisationId, Organisation>& {
    return this->organisations;
  }
  auto Teams() const -> const std::map<TeamId, Team>& { return this->teams; }
  auto Keys() const -> const std::map<KeyId, Key>& { return this->keys; }
  auto Queues() const -> const std::map<QueueName, Queue>& {
    return this->queues;
  }
  auto Services() const -> const std::map<ServiceName, Service>& {
    return this->services;
  }
  auto Profiles() const -> const std::map<ProfileName, Profile>& {
    return this->profiles;
  }
  auto GetPolicy() const -> const Policy& { return this->policy; }

  auto FindTeam(const TeamId& name) const -> const Team*;
  auto FindQueue(const QueueName& name) const -> const Queue*;
  auto FindProfile(const ProfileName& name) const -> const Profile*;

  /// Returns the key of `team` whose hash matches `secret`. Compares in
  /// constant time.
  auto Authenticate(const TeamId& team, std::string_view secret) const
      -> std::optional<KeyId>;

  /// Returns zero if there is no request profile.
  auto MaxRequestDeadline() const -> std::chrono::milliseconds;

  auto operator==(const Configuration& other) const -> bool;

 private:
  friend class ConfigurationEditor;

  std::map<OrganisationId, Organisation> organisations;
  std::map<TeamId, Team> teams;
  std::map<KeyId, Key> keys;
  std::map<QueueName, Queue> queues;
  std::map<ServiceName, Service> services;
  std::map<ProfileName, Profile> profiles;
  Policy policy;
  std::unordered_map<TeamId, std::vector<KeyId>> keys_of_team;
};

/// Returns the SHA-256 of `text` in lower-case hex, as stored in a key.
auto Sha256Hex(std::string_view text) -> std::string;

/// Returns the id of a shard; the `n` shards of a policy are named `shard-0` to
/// `shard-(n-1)`.
auto ShardAt(std::int64_t index) -> ShardId;

}  // namespace shallotbank::configuration
