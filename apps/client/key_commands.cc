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

// A change of one key stays right when another change was published first, so
// it is tried again on the new version.
constexpr int kAttempts = 5;

/// Makes the change from the configuration in force; nothing if it holds.
using MakeChange =
    std::function<leaf::result<std::optional<ConfigurationChange>>(
        const configuration::Configuration&)>;

auto PublishOnce(Session& session, const MakeChange& make_change)
    -> leaf::result<Offset> {
  BOOST_LEAF_AUTO(published, FetchConfiguration(session));
  BOOST_LEAF_AUTO(change, make_change(published.content));
  if (!change) {
    return published.version;
  }
  return PublishChanges(session, published.version, {*change});
}

auto PublishKey(Session& session, const MakeChange& make_change)
    -> leaf::result<Offset> {
  for (int attempt = 1; attempt < kAttempts; ++attempt) {
    BOOST_LEAF_AUTO(
        version,
        leaf::try_handle_some(
            [&]() -> leaf::result<std::optional<Offset>> {
              return PublishOnce(session, make_change);
            },
            [](leaf::match_member<&Failure::status, ExitStatus::kConflict>)
                -> leaf::result<std::optional<Offset>> {
              return std::nullopt;
            }));
    if (version) {
      return *version;
    }
  }
  return PublishOnce(session, make_change);
}

auto Finish(Session& session,
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

auto Grant(Session& session) -> leaf::result<void> {
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
    const auto known = content.Keys().find(KeyId(name));
    if (known == content.Keys().end()) {
      const json value{{"name", name}, {"team", team}, {"sha256", hash}};
      return ConfigurationChange{ItemKind::kKey, name, value.dump()};
    }
    if (known->second.team == TeamId(team) && known->second.sha256 == hash) {
      return std::nullopt;
    }
    return Fail(ExitStatus::kNotRun,
                "key '" + name +
                    "' is granted already, with another secret "
                    "or to another team",
                "grant under another name, then withdraw the old key");
  };
  BOOST_LEAF_AUTO(version, PublishKey(session, make_change));
  return Finish(session, name, "granted", version);
}

auto Withdraw(Session& session) -> leaf::result<void> {
  const auto& name = session.options.Arguments()[0];
  const auto make_change = [&](const configuration::Configuration& content)
      -> leaf::result<std::optional<ConfigurationChange>> {
    if (!content.Keys().contains(KeyId(name))) {
      return Fail(ExitStatus::kNotFound, "there is no key '" + name + "'",
                  "see shallotbank show for the keys");
    }
    return ConfigurationChange{ItemKind::kKey, name, std::nullopt};
  };
  BOOST_LEAF_AUTO(version, PublishKey(session, make_change));
  return Finish(session, name, "withdrawn", version);
}

}  // namespace

auto KeyCommands() -> std::vector<Command> {
  return {
      {.name = "grant",
       .arguments = "TEAM KEYNAME",
       .summary = "Gives a team a key.",
       .details =
           "Reads the secret from SHALLOTBANK_NEW_KEY or from the first line "
           "of\n"
           "standard input and sends only its SHA-256. With --wait, returns\n"
           "when the key works on every entry host.\n",
       .flags = {"operator-key-file", "wait"},
       .least_arguments = 2,
       .most_arguments = 2,
       .run = Grant},
      {.name = "withdraw",
       .arguments = "KEYNAME",
       .summary = "Makes a key invalid.",
       .details =
           "With --wait, returns when the key is refused on every entry\n"
           "host.\n",
       .flags = {"operator-key-file", "wait"},
       .least_arguments = 1,
       .most_arguments = 1,
       .run = Withdraw}};
}

}  // namespace shallotbank::client
