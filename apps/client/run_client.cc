#include "run_client.h"

#include <algorithm>
#include <string_view>

#include "base/process.h"
#include "command.h"

namespace shallotbank::client {
namespace {

namespace leaf = boost::leaf;

// Longer than an entry host waits for the log before it responds.
constexpr std::chrono::seconds kResponseTimeout{8};

auto EntryUrls(const Options& options)
    -> leaf::result<std::vector<std::string>> {
  auto entries = options.List("entry");
  for (auto& entry : entries) {
    if (!entry.starts_with("http://")) {
      return Fail(ExitStatus::kUsage,
                  "--entry: '" + entry + "' does not begin with http://");
    }
    while (entry.back() == '/') {
      entry.pop_back();
    }
  }
  return entries;
}

auto CheckArgumentCount(const Command& command, const Options& options)
    -> leaf::result<void> {
  const auto count = options.Arguments().size();
  if (count >= command.min_arguments && count <= command.max_arguments) {
    return {};
  }
  return Fail(ExitStatus::kUsage,
              "usage: shallotbank " + std::string(command.name) + " [flags] " +
                  std::string(command.arguments),
              "see shallotbank " + std::string(command.name) + " --help");
}

auto RequestTimeout(const Options& options) -> Duration {
  if (options.Has("wait")) {
    return kResponseTimeout;
  }
  // Outlasts the deadline, so that the refusal of the host, which is more
  // specific than a client timeout, arrives first.
  const Duration deadline_with_margin =
      options.DurationOr("deadline", kResponseTimeout) +
      std::chrono::seconds(1);
  return options.DurationOr(
      "timeout", std::max<Duration>(kResponseTimeout, deadline_with_margin));
}

auto RunCommand(const Command& command,
                int argc,
                char** argv,
                char** environment,
                std::istream& in,
                std::ostream& out,
                std::ostream& err) -> leaf::result<void> {
  auto flags = command.flags;
  flags.insert(flags.end(), CommonFlags().begin(), CommonFlags().end());
  BOOST_LEAF_AUTO(options, ParseOptions(flags, argc, argv, environment));
  if (options.Has("help")) {
    out << CommandHelp(command);
    return {};
  }
  BOOST_LEAF_CHECK(CheckArgumentCount(command, options));
  BOOST_LEAF_AUTO(entries, EntryUrls(options));
  EntryClient entry(std::move(entries), RequestTimeout(options));
  Session session{options, in, out, err, entry};
  return command.run(session);
}

auto Report(const Failure& failure, std::ostream& err) -> int {
  err << "shallotbank: " << failure.message << "\n";
  if (!failure.next_step.empty()) {
    err << "next step: " << failure.next_step << "\n";
  }
  return static_cast<int>(failure.status);
}

}  // namespace

auto RunClient(int argc,
               char** argv,
               char** environment,
               std::istream& in,
               std::ostream& out,
               std::ostream& err) -> int {
  const std::string_view name = argc > 1 ? argv[1] : "";
  if (name == "--help" || name == "help") {
    out << GeneralHelp();
    return 0;
  }
  if (name == "--version") {
    out << "shallotbank " << VersionText() << "\n";
    return 0;
  }
  const auto commands = AllCommands();
  const auto command = std::find_if(
      commands.begin(), commands.end(),
      [name](const Command& candidate) { return candidate.name == name; });
  if (command == commands.end()) {
    return Report(
        {ExitStatus::kUsage,
         name.empty() ? "a command is missing"
                      : "there is no command '" + std::string(name) + "'",
         "see shallotbank --help"},
        err);
  }
  return leaf::try_handle_all(
      [&]() -> leaf::result<int> {
        BOOST_LEAF_CHECK(RunCommand(*command, argc - 1, argv + 1, environment,
                                    in, out, err));
        return 0;
      },
      [&err](const Failure& failure) { return Report(failure, err); },
      [&err](leaf::catch_<nlohmann::json::exception>) {
        return Report(
            {ExitStatus::kFailed, "an answer does not have the expected form",
             "use the client of the release that the hosts run"},
            err);
      },
      [&err] {
        return Report({ExitStatus::kFailed, "unexpected error", ""}, err);
      });
}

}  // namespace shallotbank::client
