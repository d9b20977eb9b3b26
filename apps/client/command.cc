#include "command.h"

#include <array>
#include <charconv>
#include <random>
#include <sstream>

#include "secrets.h"

namespace shallotbank::client {
namespace {

namespace leaf = boost::leaf;

constexpr std::string_view kExitCodes =
    "exit codes:\n"
    "  0  done\n"
    "  1  failed\n"
    "  2  wrong usage: flag, argument, environment variable or file\n"
    "  3  refused; it did not run and a retry is safe\n"
    "  4  it may have run; the message says how to repeat it safely\n"
    "  5  conflict: somebody else published first\n"
    "  6  not found\n"
    "  7  no answer or outcome in time\n";

}  // namespace

auto AllCommands() -> std::vector<Command> {
  std::vector<Command> all;
  for (auto&& group : {ConfigurationCommands(), KeyCommands(), JobCommands(),
                       RequestCommands(), CellCommands()}) {
    all.insert(all.end(), group.begin(), group.end());
  }
  return all;
}

auto CommonFlags() -> const std::vector<std::string_view>& {
  static const std::vector<std::string_view> kFlags{"entry", "timeout", "json",
                                                    "help"};
  return kFlags;
}

auto CommandHelp(const Command& command) -> std::string {
  std::ostringstream out;
  out << "usage: shallotbank " << command.name << " [flags]"
      << (command.arguments.empty() ? "" : " ") << command.arguments << "\n\n"
      << command.summary << "\n"
      << command.details << "\nflags:\n";
  auto flags = command.flags;
  flags.insert(flags.end(), CommonFlags().begin(), CommonFlags().end());
  for (const auto& name : flags) {
    const auto& flag = FindFlag(name);
    out << "  --" << flag.name << (flag.value_name.empty() ? "" : " ")
        << flag.value_name << "  " << flag.help << "\n";
    if (!flag.environment_variable.empty()) {
      out << "      environment: " << flag.environment_variable << "\n";
    }
  }
  out << "\n" << kExitCodes;
  return out.str();
}

auto GeneralHelp() -> std::string {
  std::ostringstream out;
  out << "usage: shallotbank COMMAND [flags] [arguments]\n\n"
         "The client of Shallotbank for operators and teams.\n\ncommands:\n";
  for (const auto& command : AllCommands()) {
    const auto synopsis =
        std::string(command.name) + " " + std::string(command.arguments);
    constexpr std::size_t kWidth = 26;
    out << "  " << synopsis
        << std::string(kWidth - std::min(kWidth - 1, synopsis.size()), ' ')
        << command.summary << "\n";
  }
  out << "  --version                 Prints the version.\n\n"
         "shallotbank COMMAND --help describes a command and its flags.\n"
         "Secrets come from SHALLOTBANK_KEY (of a team) and\n"
         "SHALLOTBANK_OPERATOR_KEY, or from files, never from arguments.\n\n"
      << kExitCodes;
  return out.str();
}

auto OperatorHeaders(const Options& options)
    -> leaf::result<std::vector<http::Header>> {
  BOOST_LEAF_AUTO(secret, OperatorKey(options));
  return std::vector<http::Header>{{"Shallotbank-Operator-Key", secret}};
}

auto TeamHeaders(const Options& options)
    -> leaf::result<std::vector<http::Header>> {
  BOOST_LEAF_AUTO(secret, TeamKey(options));
  std::vector<http::Header> headers;
  if (options.Has("team")) {
    headers.push_back({"Shallotbank-Team", options.String("team")});
  }
  if (!secret.empty()) {
    headers.push_back({"Shallotbank-Key", secret});
  }
  return headers;
}

auto RandomId() -> std::string {
  std::random_device random;
  const auto value = (static_cast<std::uint64_t>(random()) << 32U) | random();
  std::array<char, 2 * sizeof(value)> hex{};
  constexpr int kBase = 16;
  auto* end =
      std::to_chars(hex.data(), hex.data() + hex.size(), value, kBase).ptr;
  return "client-" + std::string(hex.data(), end);
}

auto MemberText(const nlohmann::json& object, const char* name) -> std::string {
  if (!object.is_object() || !object.contains(name)) {
    return "";
  }
  const auto& value = object[name];
  return value.is_string() ? value.get<std::string>() : value.dump();
}

}  // namespace shallotbank::client
