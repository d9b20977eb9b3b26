#include <algorithm>
#include <fstream>
#include <sstream>

#include "command.h"
#include "configuration/configuration_json.h"
#include "convergence.h"
#include "published_configuration.h"
#include "table.h"

namespace shallotbank::client {
namespace {

namespace leaf = boost::leaf;
using configuration::ConfigurationChange;
using nlohmann::json;

auto ReadFile(const std::string& path) -> leaf::result<std::string> {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) {
    return Fail(ExitStatus::kUsage, "cannot read " + path + ", or it is empty");
  }
  return text.str();
}

auto ParseFile(const std::string& path)
    -> leaf::result<configuration::Configuration> {
  BOOST_LEAF_AUTO(text, ReadFile(path));
  return leaf::try_handle_some(
      [&] { return configuration::ParseConfiguration(text); },
      [&path](const configuration::ConfigurationErrors& errors)
          -> leaf::result<configuration::Configuration> {
        return Fail(ExitStatus::kUsage,
                    path + " is not a valid configuration:" + ToText(errors),
                    "correct the file; nothing was sent");
      });
}

auto IsKey(const ConfigurationChange& change) -> bool {
  return change.kind == configuration::ItemKind::kKey;
}

// A file often predates keys that were granted or withdrawn later, so a publish
// changes keys only if the operator asks for it with --keys.
auto ApplyKeysFlag(const Session& session,
                   const PublishedConfiguration& published,
                   std::vector<ConfigurationChange>& changes)
    -> leaf::result<void> {
  const auto choice = session.options.String("keys");
  if (!choice.empty() && choice != "keep" && choice != "replace") {
    return Fail(ExitStatus::kUsage, "--keys: must be keep or replace");
  }
  if (choice == "replace" || published.version == 0) {
    return {};
  }
  if (choice == "keep") {
    std::erase_if(changes, IsKey);
    return {};
  }
  std::string differences;
  for (const auto& change : changes) {
    if (IsKey(change)) {
      differences +=
          "\n  would " +
          std::string(change.value ? "grant or change" : "withdraw") + " key " +
          change.name;
    }
  }
  if (differences.empty()) {
    return {};
  }
  return Fail(ExitStatus::kNotRun,
              "the keys of the file are not those in force:" + differences,
              "give --keys keep to leave keys alone, or --keys replace");
}

auto PrintDifference(Session& session,
                     const PublishedConfiguration& published,
                     const std::vector<ConfigurationChange>& changes) -> void {
  if (session.options.Has("json")) {
    json list = json::array();
    for (const auto& change : changes) {
      json item{{"kind", ToText(change.kind)}, {"name", change.name}};
      if (change.value) {
        item["value"] = json::parse(*change.value);
      }
      list.push_back(std::move(item));
    }
    session.out << json{{"version", published.version}, {"changes", list}}.dump(
                       2)
                << "\n";
    return;
  }
  session.out << "difference to version " << published.version << ":\n"
              << configuration::Describe(published.content, changes);
}

auto PublishFile(Session& session) -> leaf::result<void> {
  BOOST_LEAF_AUTO(desired, ParseFile(session.options.Arguments().front()));
  BOOST_LEAF_AUTO(published, FetchConfiguration(session));
  auto changes = configuration::Diff(published.content, desired);
  BOOST_LEAF_CHECK(ApplyKeysFlag(session, published, changes));
  if (session.options.Has("dry-run")) {
    PrintDifference(session, published, changes);
    return {};
  }
  auto version = published.version;
  if (!changes.empty()) {
    if (!session.options.Has("json")) {
      PrintDifference(session, published, changes);
    }
    BOOST_LEAF_ASSIGN(version,
                      PublishChanges(session, published.version, changes));
  }
  if (session.options.Has("json")) {
    session.out << json{{"version", version}, {"changes", changes.size()}}.dump(
                       2)
                << "\n";
  } else if (changes.empty()) {
    session.out << "nothing to change; version " << version << " is in force\n";
  } else {
    session.out << "published as version " << version << "\n";
  }
  if (session.options.Has("wait")) {
    return WaitForVersion(session, version);
  }
  return {};
}

auto LimitText(const configuration::Limit& limit) -> std::string {
  return std::to_string(limit.resources.cores_milli) + "/" +
         std::to_string(limit.resources.memory_mib) + "/" +
         std::to_string(limit.resources.accelerators) + "/" +
         std::to_string(limit.tasks);
}

auto ClassText(configuration::JobClass job_class) -> std::string {
  switch (job_class) {
    case configuration::JobClass::kService:
      return "service";
    case configuration::JobClass::kBatch:
      return "batch";
    case configuration::JobClass::kGang:
      return "gang";
    case configuration::JobClass::kRequest:
      break;
  }
  return "request";
}

auto PrintTeams(const configuration::Configuration& content, std::ostream& out)
    -> void {
  Table table({"TEAM", "ORGANISATION", "WEIGHT",
               "LIMIT (mCORES/MiB/ACCEL/TASKS)", "KEYS"});
  for (const auto& [name, team] : content.Teams()) {
    std::string keys;
    for (const auto& [key_name, key] : content.Keys()) {
      if (key.team == name) {
        keys += (keys.empty() ? "" : ",") + key_name.Text();
      }
    }
    table.AddRow({name.Text(), team.organisation.Text(),
                  std::to_string(team.weight), LimitText(team.limit), keys});
  }
  table.Print(out);
}

auto PrintProfiles(const configuration::Configuration& content,
                   std::ostream& out) -> void {
  Table table({"PROFILE", "CLASS", "QUEUE", "PRIORITY", "IDEMPOTENT",
               "SINGLE-RUN", "NEED (mCORES/MiB)"});
  for (const auto& [name, profile] : content.Profiles()) {
    const auto& queue = content.FindQueue(profile.queue);
    const bool is_open = queue != nullptr && queue->open;
    const bool is_request =
        profile.job_class == configuration::JobClass::kRequest;
    table.AddRow(
        {name.Text(), ClassText(profile.job_class),
         profile.queue.Text() + (is_open ? " (open)" : ""),
         profile.priority == configuration::Priority::kUrgent ? "urgent"
                                                              : "normal",
         profile.idempotent ? "yes" : "no", profile.single_run ? "yes" : "no",
         is_request ? ""
                    : std::to_string(profile.need.cores_milli) + "/" +
                          std::to_string(profile.need.memory_mib)});
  }
  table.Print(out);
}

auto ShowConfiguration(Session& session) -> leaf::result<void> {
  BOOST_LEAF_AUTO(published, FetchConfiguration(session));
  const auto file = configuration::ToJson(published.content);
  if (session.options.Has("as-file")) {
    session.out << file << (file.ends_with("\n") ? "" : "\n");
    return {};
  }
  if (session.options.Has("json")) {
    session.out << json{{"version", published.version},
                        {"configuration", json::parse(file)}}
                       .dump(2)
                << "\n";
    return {};
  }
  const auto& policy = published.content.GetPolicy();
  session.out << "version " << published.version << ", waiting weight "
              << policy.waiting_weight << ", share weight "
              << policy.share_weight << ", shards " << policy.shards << "\n\n";
  PrintTeams(published.content, session.out);
  session.out << "\n";
  PrintProfiles(published.content, session.out);
  return {};
}

}  // namespace

auto ConfigurationCommands() -> std::vector<Command> {
  return {{.name = "publish",
           .arguments = "FILE",
           .summary = "Puts a configuration file in force.",
           .details =
               "Validates the whole file, reads the configuration in force and "
               "sends\n"
               "the difference to it. If another publish happens in between,\n"
               "nothing is changed and the exit code is 5.\n",
           .flags = {"operator-key-file", "dry-run", "keys", "wait"},
           .min_arguments = 1,
           .max_arguments = 1,
           .run = PublishFile},
          {.name = "show",
           .arguments = "",
           .summary = "Shows the configuration in force.",
           .details = "",
           .flags = {"operator-key-file", "as-file"},
           .run = ShowConfiguration}};
}

}  // namespace shallotbank::client
