#include <functional>
#include <optional>

#include "command.h"
#include "convergence.h"
#include "published_configuration.h"
#include "secrets.h"

namespace shallotbank::client {
namespace {

namespace leaf = boost::leaf;
using configuration::ConfigurationChange;
using configuration::ItemKind;
using nlohmann::json;

// A change of a single key remains valid after a conflicting publish, so it is
// retried on the new version.
constexpr int kMaxAttempts = 5;

/// Derives the change from the active configuration; empty if nothing has to
/// change.
using MakeChange =
    std::function<leaf::result<std::optional<ConfigurationChange>>(
        const configuration::Configuration&)>;

auto TryPublish(Session& session, const MakeChange& make_change)
    -> leaf::result<Offset> {
  BOOST_LEAF_AUTO(published, FetchConfiguration(session));
  BOOST_LEAF_AUTO(change, make_change(published.content));
  if (!change) {
    return published.version;
  }
  return PublishChanges(session, published.version, {*change});
}

auto PublishWithRetries(Session& session, const MakeChange& make_change)
    -> leaf::result<Offset> {
  for (int attempt = 1; attempt < kMaxAttempts; ++attempt) {
    BOOST_LEAF_AUTO(
        version,
        leaf::try_handle_some(
            [&]() -> leaf::result<std::optional<Offset>> {
              return TryPublish(session, make_change);
            },
            [](leaf::match_member<&Failure::status, ExitStatus::kConflict>)
                -> leaf::result<std::optional<Offset>> {
              return std::nullopt;
            }));
    if (version) {
      return *version;
    }
  }
  return TryPublish(session, make_change);
}

auto ReportAndWait(Session& session,
                   const std::string& key,
                   const char* outcome,
                   Offset version) -> leaf::result<void> {
  if (session.options.Has("json")) {
    session.out
        << json{{"key", key}, {"outcome", outcome}, {"version", version}}.dump(
               2)
        << "\n";
  } else {
    session.out << "key " << key << " " << outcome << " with version "
                << version << "\n";
  }
  if (session.options.Has("wait")) {
    return WaitForVersion(session, version);
  }
  return {};
}

auto GrantKey(Session& session) -> leaf::result<void> {
  const auto& team = session.options.Arguments()[0];
  const auto& name = session.options.Arguments()[1];
  BOOST_LEAF_AUTO(secret, NewKey(session.options, session.in));
  const auto hash = configuration::Sha256Hex(secret);
  const auto make_change = [&](const configuration::Configuration& content)
      -> leaf::result<std::optional<ConfigurationChange>> {
    if (content.FindTeam(TeamId(team)) == nullptr) {
      return Fail(ExitStatus::kNotFound, "there is no team '" + team + "'",
                  "see shallotbank show for the teams");
    }
    const auto existing = content.Keys().find(KeyId(name));
    if (existing == content.Keys().end()) {
      const json value{{"name", name}, {"team", team}, {"sha256", hash}};
      return ConfigurationChange{ItemKind::kKey, name, value.dump()};
    }
    if (existing->second.team == TeamId(team) &&
        existing->second.sha256 == hash) {
      return std::nullopt;
    }
    return Fail(ExitStatus::kNotRun,
                "key '" + name +
                    "' is already granted, with another secret "
                    "or to another team",
                "grant a key with another name, then withdraw the old key");
  };
  BOOST_LEAF_AUTO(version, PublishWithRetries(session, make_change));
  return ReportAndWait(session, name, "granted", version);
}

auto WithdrawKey(Session& session) -> leaf::result<void> {
  const auto& name = session.options.Arguments()[0];
  const auto make_change = [&](const configuration::Configuration& content)
      -> leaf::result<std::optional<ConfigurationChange>> {
    if (!content.Keys().contains(KeyId(name))) {
      return Fail(ExitStatus::kNotFound, "there is no key '" + name + "'",
                  "see shallotbank show for the keys");
    }
    return ConfigurationChange{ItemKind::kKey, name, std::nullopt};
  };
  BOOST_LEAF_AUTO(version, PublishWithRetries(session, make_change));
  return ReportAndWait(session, name, "withdrawn", version);
}

}  // namespace

auto KeyCommands() -> std::vector<Command> {
  return {
      {.name = "grant",
       .arguments = "TEAM KEYNAME",
       .summary = "Grants a key to a team.",
       .details =
           "Reads the secret from SHALLOTBANK_NEW_KEY or from the first line "
           "of\n"
           "standard input and sends only its SHA-256. With --wait, returns\n"
           "once the key works on every entry host.\n",
       .flags = {"operator-key-file", "wait"},
       .min_arguments = 2,
       .max_arguments = 2,
       .run = GrantKey},
      {.name = "withdraw",
       .arguments = "KEYNAME",
       .summary = "Makes a key invalid.",
       .details =
           "With --wait, returns once the key is refused on every entry\n"
           "host.\n",
       .flags = {"operator-key-file", "wait"},
       .min_arguments = 1,
       .max_arguments = 1,
       .run = WithdrawKey}};
}

}  // namespace shallotbank::client
