#include "options.h"

#include <getopt.h>

#include <algorithm>
#include <charconv>
#include <sstream>

#include "base/settings.h"

namespace shallotbank::client {
namespace {

namespace leaf = boost::leaf;

constexpr std::string_view kEnvironmentPrefix = "SHALLOTBANK_";
constexpr int kFirstFlagCode = 1000;

// Values are sent in request headers, where a line break would inject another
// header.
auto IsPrintable(std::string_view text) -> bool {
  return std::all_of(text.begin(), text.end(),
                     [](char c) { return c >= ' ' && c <= '~'; });
}

auto ParseNumber(const std::string& text) -> std::optional<std::int64_t> {
  std::int64_t value = 0;
  const auto* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  if (parsed.ec != std::errc() || parsed.ptr != end || value < 1) {
    return std::nullopt;
  }
  return value;
}

auto UsageFailure(const std::string& message) -> leaf::error_id {
  return Fail(ExitStatus::kUsage, message,
              "see shallotbank COMMAND --help for the flags of a command");
}

auto CheckValue(const Flag& flag,
                const std::string& source,
                const std::string& text) -> leaf::result<void> {
  if (!IsPrintable(text)) {
    return UsageFailure(source + ": must be printable ASCII on one line");
  }
  if (flag.kind == FlagKind::kNumber && !ParseNumber(text)) {
    return UsageFailure(source + ": '" + text + "' is not a positive integer");
  }
  if (flag.kind == FlagKind::kDuration) {
    const auto time = ParseDuration(text);
    if (!time || *time <= Duration::zero()) {
      return UsageFailure(source + ": '" + text +
                          "' is not a time such as 250ms or 3s");
    }
  }
  return {};
}

}  // namespace

auto AllFlags() -> const std::vector<Flag>& {
  static const std::vector<Flag> kFlags{
      {"entry", FlagKind::kString, "URL[,URL]",
       "entry hosts, http://IP:PORT; the next is tried if a host did not run "
       "the request",
       "SHALLOTBANK_ENTRY"},
      {"json", FlagKind::kSwitch, "", "print JSON for scripts", ""},
      {"help", FlagKind::kSwitch, "", "print this page", ""},
      {"timeout", FlagKind::kDuration, "TIME",
       "how long to wait for an answer, or for the outcome with --wait",
       "SHALLOTBANK_TIMEOUT"},
      {"team", FlagKind::kString, "TEAM", "the team of the key",
       "SHALLOTBANK_TEAM"},
      {"key-file", FlagKind::kString, "FILE",
       "file with the team's key (or SHALLOTBANK_KEY holds the key)",
       "SHALLOTBANK_KEY_FILE"},
      {"operator-key-file", FlagKind::kString, "FILE",
       "file with the operator key (or SHALLOTBANK_OPERATOR_KEY holds it)",
       "SHALLOTBANK_OPERATOR_KEY_FILE"},
      {"dry-run", FlagKind::kSwitch, "",
       "show the difference and change nothing", ""},
      {"keys", FlagKind::kString, "keep|replace",
       "leave the keys in force alone, or replace them with those of the file",
       ""},
      {"wait", FlagKind::kSwitch, "", "wait for the outcome", ""},
      {"as-file", FlagKind::kSwitch, "",
       "print the configuration as a file for editing and publishing", ""},
      {"tasks", FlagKind::kNumber, "N", "number of tasks of the job", ""},
      {"expected-run", FlagKind::kDuration, "TIME",
       "expected run time of a task", ""},
      {"idempotency-key", FlagKind::kString, "TEXT",
       "a retry with the same key returns the same job (default: random)", ""},
      {"request-id", FlagKind::kString, "TEXT",
       "id of the request; a retry with it never runs twice (default: random)",
       ""},
      {"deadline", FlagKind::kDuration, "TIME",
       "how long the answer is of use (default: that of the profile)", ""},
      {"shard", FlagKind::kString, "SHARD", "shard to show (default: shard-0)",
       ""}};
  return kFlags;
}

auto FindFlag(std::string_view name) -> const Flag& {
  return *std::find_if(AllFlags().begin(), AllFlags().end(),
                       [&](const Flag& flag) { return flag.name == name; });
}

auto Options::Has(std::string_view flag) const -> bool {
  return this->values.contains(flag);
}

auto Options::String(std::string_view flag) const -> std::string {
  const auto found = this->values.find(flag);
  return found == this->values.end() ? "" : found->second;
}

auto Options::Number(std::string_view flag) const
    -> std::optional<std::int64_t> {
  return ParseNumber(this->String(flag));
}

auto Options::DurationOr(std::string_view flag, Duration fallback) const
    -> Duration {
  const auto text = this->String(flag);
  const auto time = ParseDuration(text);
  return text.empty() || !time ? fallback : *time;
}

auto Options::List(std::string_view flag) const -> std::vector<std::string> {
  std::vector<std::string> items;
  std::istringstream text(this->String(flag));
  for (std::string item; std::getline(text, item, ',');) {
    if (!item.empty()) {
      items.push_back(item);
    }
  }
  return items;
}

auto Options::Secret(std::string_view variable) const -> std::string {
  const auto found = this->secrets.find(variable);
  return found == this->secrets.end() ? "" : found->second;
}

/// Fills `Options` from the environment, then from the flags, which take
/// precedence.
class OptionsParser {
 public:
  auto ReadEnvironment(char** environment) -> leaf::result<void> {
    for (; environment != nullptr && *environment != nullptr; ++environment) {
      const std::string_view text(*environment);
      const auto equals = text.find('=');
      if (!text.starts_with(kEnvironmentPrefix) ||
          equals == std::string_view::npos) {
        continue;
      }
      BOOST_LEAF_CHECK(
          this->ReadVariable(std::string(text.substr(0, equals)),
                             std::string(text.substr(equals + 1))));
    }
    return {};
  }

  auto ReadFlags(const std::vector<std::string_view>& flags,
                 int argc,
                 char** argv) -> leaf::result<void> {
    std::vector<option> getopt_options;
    for (std::size_t i = 0; i < flags.size(); ++i) {
      const auto& flag = FindFlag(flags[i]);
      getopt_options.push_back(
          {flag.name.data(),
           flag.kind == FlagKind::kSwitch ? no_argument : required_argument,
           nullptr, kFirstFlagCode + static_cast<int>(i)});
    }
    getopt_options.push_back({nullptr, 0, nullptr, 0});
    optind = 0;  // GNU getopt: resets the scan, which repeated calls need.
    opterr = 0;
    int code = 0;
    // NOLINTNEXTLINE(concurrency-mt-unsafe)
    while ((code = getopt_long(argc, argv, ":", getopt_options.data(),
                               nullptr)) != -1) {
      if (code < kFirstFlagCode) {
        const std::string given = argv[optind - 1];
        return UsageFailure(given.substr(0, given.find('=')) +
                            (code == ':' ? ": the flag needs a value"
                                         : ": unknown or misused flag"));
      }
      const auto& flag =
          FindFlag(flags[static_cast<std::size_t>(code - kFirstFlagCode)]);
      const std::string value = optarg == nullptr ? "yes" : optarg;
      BOOST_LEAF_CHECK(CheckValue(flag, "--" + std::string(flag.name), value));
      this->options.values[std::string(flag.name)] = value;
    }
    this->options.arguments.assign(argv + optind, argv + argc);
    for (const auto& argument : this->options.arguments) {
      if (argument.empty() || !IsPrintable(argument)) {
        return UsageFailure(
            "an argument is empty or contains characters other than printable "
            "ASCII");
      }
    }
    return {};
  }

  Options options;

 private:
  auto ReadVariable(const std::string& name, const std::string& value)
      -> leaf::result<void> {
    if (name == kTeamKeyVariable || name == kOperatorKeyVariable ||
        name == kNewKeyVariable) {
      this->options.secrets[name] = value;
      return {};
    }
    for (const auto& flag : AllFlags()) {
      if (flag.environment_variable == name) {
        BOOST_LEAF_CHECK(CheckValue(flag, name, value));
        if (!value.empty()) {
          this->options.values[std::string(flag.name)] = value;
        }
        return {};
      }
    }
    return UsageFailure(name + ": unknown environment variable");
  }
};

auto ParseOptions(const std::vector<std::string_view>& flags,
                  int argc,
                  char** argv,
                  char** environment) -> leaf::result<Options> {
  OptionsParser parser;
  BOOST_LEAF_CHECK(parser.ReadEnvironment(environment));
  BOOST_LEAF_CHECK(parser.ReadFlags(flags, argc, argv));
  return std::move(parser.options);
}

}  // namespace shallotbank::client
