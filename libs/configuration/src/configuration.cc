#include "configuration/configuration.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>

#include <algorithm>
#include <array>

namespace shallotbank::configuration {
namespace {

template <typename Map>
auto FindIn(const Map& map, const typename Map::key_type& name) -> const
    typename Map::mapped_type* {
  const auto found = map.find(name);
  return found == map.end() ? nullptr : &found->second;
}

}  // namespace

auto Configuration::FindTeam(const TeamId& name) const -> const Team* {
  return FindIn(this->teams, name);
}

auto Configuration::FindQueue(const QueueName& name) const -> const Queue* {
  return FindIn(this->queues, name);
}

auto Configuration::FindProfile(const ProfileName& name) const
    -> const Profile* {
  return FindIn(this->profiles, name);
}

auto Configuration::Authenticate(const TeamId& team,
                                 std::string_view secret) const
    -> std::optional<KeyId> {
  const auto digest = Sha256Hex(secret);
  const auto* names = FindIn(this->keys_of_team, team);
  if (names == nullptr) {
    return std::nullopt;
  }
  std::optional<KeyId> match;
  for (const auto& name : *names) {
    const auto& expected = this->keys.at(name).sha256;
    if (expected.size() == digest.size() &&
        CRYPTO_memcmp(expected.data(), digest.data(), digest.size()) == 0) {
      match = name;
    }
  }
  return match;
}

auto Configuration::MaxRequestDeadline() const -> std::chrono::milliseconds {
  std::chrono::milliseconds longest{0};
  for (const auto& [name, profile] : this->profiles) {
    longest = std::max(longest, profile.deadline.value_or(longest));
  }
  return longest;
}

auto Configuration::operator==(const Configuration& other) const -> bool {
  return this->organisations == other.organisations &&
         this->teams == other.teams && this->keys == other.keys &&
         this->queues == other.queues && this->services == other.services &&
         this->profiles == other.profiles && this->policy == other.policy;
}

auto Sha256Hex(std::string_view text) -> std::string {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int length = 0;
  if (EVP_Digest(text.data(), text.size(), digest.data(), &length, EVP_sha256(),
                 nullptr) != 1) {
    return "";
  }
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string hex;
  for (unsigned int i = 0; i < length; ++i) {
    hex += kDigits[digest.at(i) >> 4U];
    hex += kDigits[digest.at(i) & 0xFU];
  }
  return hex;
}

auto ShardAt(std::int64_t index) -> ShardId {
  return ShardId("shard-" + std::to_string(index));
}

}  // namespace shallotbank::configuration
