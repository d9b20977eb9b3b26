#include "options.h"

#include <getopt.h>

#include <algorithm>
#include <charconv>
#include <sstream>

#include "base/settings.h"

namespace shallotbank::client {
namespace {

namespace leaf = boost::leaf;

constexpr std::string_view kPrefix = "SHALLOTBANK_";
constexpr int kFirstFlag = 1000;

// Values end up in request headers, where a line break would start another
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

auto Usage(const std::string& message) -> leaf::error_id {
  return Fail(ExitStatus::kUsage, message,
              "see shallotbank COMMAND --help for the flags of a command");
}

auto Check(const Flag& flag, const std::string& source, const std::string& text)
    -> leaf::result<void> {
  if (!IsPrintable(text)) {
    return Usage(source + ": must be printable ASCII on one line");
  }
  if (flag.kind == FlagKind::kNumber && !ParseNumber(text)) {
    return Usage(source + ": '" + text + "' is not a whole number above 0");
  }
  if (flag.kind == FlagKind::kTime) {
    const auto time = ParseDuration(text);
    if (!time || *time <= Duration::zero()) {
      return Usage(source + ": '" + text +
                   "' is not a time such as 250ms or 3s");
    }
  }
  return {};
}

}  // namespace

auto AllFlags() -> const std::vector<Flag>& {
  static const std::vector<Flag> kFlags{
      {"entry", FlagKind::kText, "URL[,URL]",
       "entry hosts, http://IP:PORT; the next is tried if one did not run it",
       "SHALLOTBANK_ENTRY"},
      {"json", FlagKind::kSwitch, "", "print JSON for scripts", ""},
      {"help", FlagKind::kSwitch, "", "print this page", ""},
      {"timeout", FlagKind::kTime, "TIME",
       "how long to wait for an answer, or for the outcome with --wait",
       "SHALLOTBANK_TIMEOUT"},
      {"team", FlagKind::kText, "TEAM", "the team of the key",
       "SHALLOTBANK_TEAM"},
      {"key-file", FlagKind::kText, "FILE",
       "file with the team's key (or SHALLOTBANK_KEY holds the key)",
       "SHALLOTBANK_KEY_FILE"},
      {"operator-key-file", FlagKind::kText, "FILE",
       "file with the operator key (or SHALLOTBANK_OPERATOR_KEY holds it)",
       "SHALLOTBANK_OPERATOR_KEY_FILE"},
      {"dry-run", FlagKind::kSwitch, "",
       "show the difference and change nothing", ""},
      {"keys", FlagKind::kText, "keep|replace",
       "leave the keys in force alone, or replace them by those of the file",
       ""},
      {"wait", FlagKind::kSwitch, "", "wait for the outcome", ""},
      {"as-file", FlagKind::kSwitch, "",
       "print the configuration file, for an edit and publish", ""},
      {"tasks", FlagKind::kNumber, "N", "number of tasks of the job", ""},
      {"expected-run", FlagKind::kTime, "TIME", "expected run time of a task",
       ""},
      {"idempotency-key", FlagKind::kText, "TEXT",
       "a repeat with the same text returns the same job (default: random)",
       ""},
      {"request-id", FlagKind::kText, "TEXT",
       "id of the request; a repeat never runs twice (default: random)", ""},
      {"deadline", FlagKind::kTime, "TIME",
       "how long the answer is of use (default: that of the profile)", ""},
      {"shard", FlagKind::kText, "SHARD", "shard to show (default: shard-0)",
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

auto Options::Text(std::string_view flag) const -> std::string {
  const auto found = this->values.find(flag);
  return found == this->values.end() ? "" : found->second;
}

auto Options::Number(std::string_view flag) const
    -> std::optional<std::int64_t> {
  return ParseNumber(this->Text(flag));
}

auto Options::Time(std::string_view flag, Duration otherwise) const
    -> Duration {
  const auto text = this->Text(flag);
  const auto time = ParseDuration(text);
  return text.empty() || !time ? otherwise : *time;
}

auto Options::List(std::string_view flag) const -> std::vector<std::string> {
  std::vector<std::string> parts;
  std::istringstream text(this->Text(flag));
  for (std::string part; std::getline(text, part, ',');) {
    if (!part.empty()) {
      parts.push_back(part);
    }
  }
  return parts;
}

auto Options::Secret(std::string_view variable) const -> std::string {
  const auto found = this->secrets.find(variable);
  return found == this->secrets.end() ? "" : found->second;
}

/// Fills `Options` from the environment, then from the flags, which win.
class OptionsParser {
 public:
  auto ReadEnvironment(char** environment) -> leaf::result<void> {
    for (; environment != nullptr && *environment != nullptr; ++environment) {
      const std::string_view text(*environment);
      const auto equals = text.find('=');
      if (!text.starts_with(kPrefix) || equals == std::string_view::npos) {
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
    std::vector<option> known;
    for (std::size_t i = 0; i < flags.size(); ++i) {
      const auto& flag = FindFlag(flags[i]);
      known.push_back(
          {flag.name.data(),
           flag.kind == FlagKind::kSwitch ? no_argument : required_argument,
           nullptr, kFirstFlag + static_cast<int>(i)});
    }
    known.push_back({nullptr, 0, nullptr, 0});
    optind = 0;  // GNU getopt: start over, also when called a second time.
    opterr = 0;
    int choice = 0;
    // NOLINTNEXTLINE(concurrency-mt-unsafe)
    while ((choice = getopt_long(argc, argv, ":", known.data(), nullptr)) !=
           -1) {
      if (choice < kFirstFlag) {
        const std::string given = argv[optind - 1];
        return Usage(given.substr(0, given.find('=')) +
                     (choice == ':' ? ": the flag needs a value"
                                    : ": unknown or misused flag"));
      }
      const auto& flag =
          FindFlag(flags[static_cast<std::size_t>(choice - kFirstFlag)]);
      const std::string value = optarg == nullptr ? "yes" : optarg;
      BOOST_LEAF_CHECK(Check(flag, "--" + std::string(flag.name), value));
      this->options.values[std::string(flag.name)] = value;
    }
    this->options.arguments.assign(argv + optind, argv + argc);
    for (const auto& argument : this->options.arguments) {
      if (argument.empty() || !IsPrintable(argument)) {
        return Usage("an argument is empty or not printable ASCII");
      }
    }
    return {};
  }

  Options options;

 private:
  auto ReadVariable(const std::string& name, const std::string& value)
      -> leaf::result<void> {
    if (name == kKeyVariable || name == kOperatorKeyVariable ||
        name == kNewKeyVariable) {
      this->options.secrets[name] = value;
      return {};
    }
    for (const auto& flag : AllFlags()) {
      if (flag.environment == name) {
        BOOST_LEAF_CHECK(Check(flag, name, value));
        if (!value.empty()) {
          this->options.values[std::string(flag.name)] = value;
        }
        return {};
      }
    }
    return Usage(name + ": unknown environment variable");
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
