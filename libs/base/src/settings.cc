#include "base/settings.h"

#include <getopt.h>

#include <algorithm>
#include <charconv>
#include <cstring>
#include <optional>
#include <sstream>

namespace shallotbank {
namespace {

namespace leaf = boost::leaf;

constexpr std::string_view kEnvironmentPrefix = "SHALLOTBANK_";
constexpr int kHelpOption = 1;
constexpr int kVersionOption = 2;
constexpr int kPrintSettingsOption = 3;
constexpr int kFirstSettingOption = 1000;

auto ParseInteger(std::string_view text) -> std::optional<std::int64_t> {
  std::int64_t value = 0;
  const auto* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return value;
}

auto EnvironmentName(const std::string& name) -> std::string {
  std::string result(kEnvironmentPrefix);
  for (const char c : name) {
    result += c == '-' ? '_' : static_cast<char>(std::toupper(c));
  }
  return result;
}

auto ToText(Settings::Origin origin) -> const char* {
  switch (origin) {
    case Settings::Origin::kDefault:
      return "default";
    case Settings::Origin::kEnvironment:
      return "environment";
    case Settings::Origin::kFlag:
      return "flag";
  }
  return "default";
}

}  // namespace

auto ParseDuration(const std::string& text) -> leaf::result<Duration> {
  auto with_unit =
      [&text](std::string_view unit) -> std::optional<std::int64_t> {
    if (!text.ends_with(unit)) {
      return std::nullopt;
    }
    const auto number =
        std::string_view(text).substr(0, text.size() - unit.size());
    const auto value = ParseInteger(number);
    // Bounded so that the conversion to nanoseconds cannot overflow.
    constexpr std::int64_t kMaxValue = 1'000'000'000;
    if (!value || *value < 0 || *value > kMaxValue) {
      return std::nullopt;
    }
    return value;
  };
  if (const auto value = with_unit("ms")) {
    return Duration(std::chrono::milliseconds(*value));
  }
  if (const auto value = with_unit("s")) {
    return Duration(std::chrono::seconds(*value));
  }
  return leaf::new_error(
      SettingsError{"", "'" + text + "' is not a time such as 250ms or 3s"});
}

auto Settings::Text(const std::string& name) const -> const std::string& {
  return this->values.at(name).text;
}

auto Settings::Integer(const std::string& name) const -> std::int64_t {
  return ParseInteger(this->Text(name)).value_or(0);
}

auto Settings::Time(const std::string& name) const -> Duration {
  const auto time = ParseDuration(this->Text(name));
  return time ? time.value() : Duration::zero();
}

auto Settings::List(const std::string& name) const -> std::vector<std::string> {
  std::vector<std::string> parts;
  std::istringstream in(this->Text(name));
  std::string part;
  while (std::getline(in, part, ',')) {
    if (!part.empty()) {
      parts.push_back(part);
    }
  }
  return parts;
}

auto Settings::Describe() const -> std::string {
  std::ostringstream out;
  for (const auto& [name, value] : this->values) {
    out << name << "=" << value.text << " (" << ToText(value.origin) << ")\n";
  }
  return out.str();
}

SettingsBuilder::SettingsBuilder(std::string program, std::string summary)
    : program(std::move(program)), summary(std::move(summary)) {}

auto SettingsBuilder::Text(std::string name,
                           std::string default_value,
                           std::string help) -> SettingsBuilder& {
  this->declarations.push_back({.name = std::move(name),
                                .kind = Kind::kText,
                                .default_value = std::move(default_value),
                                .help = std::move(help)});
  return *this;
}

auto SettingsBuilder::RequiredText(std::string name, std::string help)
    -> SettingsBuilder& {
  this->declarations.push_back({.name = std::move(name),
                                .kind = Kind::kText,
                                .default_value = "",
                                .required = true,
                                .help = std::move(help)});
  return *this;
}

auto SettingsBuilder::Integer(std::string name,
                              std::int64_t default_value,
                              std::int64_t minimum,
                              std::int64_t maximum,
                              std::string help) -> SettingsBuilder& {
  this->declarations.push_back({.name = std::move(name),
                                .kind = Kind::kInteger,
                                .default_value = std::to_string(default_value),
                                .required = false,
                                .minimum = minimum,
                                .maximum = maximum,
                                .help = std::move(help)});
  return *this;
}

auto SettingsBuilder::Time(std::string name,
                           std::chrono::milliseconds default_value,
                           std::string help) -> SettingsBuilder& {
  this->declarations.push_back(
      {.name = std::move(name),
       .kind = Kind::kTime,
       .default_value = std::to_string(default_value.count()) + "ms",
       .help = std::move(help)});
  return *this;
}

auto SettingsBuilder::Find(const std::string& name) const
    -> const Declaration* {
  const auto found = std::find_if(
      this->declarations.begin(), this->declarations.end(),
      [&name](const auto& candidate) { return candidate.name == name; });
  return found == this->declarations.end() ? nullptr : &*found;
}

auto SettingsBuilder::Check(const Declaration& declaration,
                            const std::string& source,
                            const std::string& text) const
    -> leaf::result<void> {
  switch (declaration.kind) {
    case Kind::kText:
      break;
    case Kind::kInteger: {
      const auto value = ParseInteger(text);
      if (!value || *value < declaration.minimum ||
          *value > declaration.maximum) {
        return leaf::new_error(SettingsError{
            source, "'" + text + "' is not an integer from " +
                        std::to_string(declaration.minimum) + " to " +
                        std::to_string(declaration.maximum)});
      }
      break;
    }
    case Kind::kTime:
      if (!ParseDuration(text)) {
        return leaf::new_error(SettingsError{
            source, "'" + text + "' is not a time such as 250ms or 3s"});
      }
      break;
  }
  return {};
}

auto SettingsBuilder::ReadEnvironment(Settings& settings,
                                      char** environment) const
    -> leaf::result<void> {
  for (char** entry = environment; entry != nullptr && *entry != nullptr;
       ++entry) {
    const std::string_view text(*entry);
    if (!text.starts_with(kEnvironmentPrefix)) {
      continue;
    }
    const auto equals = text.find('=');
    const std::string variable(text.substr(0, equals));
    const auto declaration =
        std::find_if(this->declarations.begin(), this->declarations.end(),
                     [&variable](const auto& candidate) {
                       return EnvironmentName(candidate.name) == variable;
                     });
    if (declaration == this->declarations.end()) {
      return leaf::new_error(
          SettingsError{variable, "unknown environment variable"});
    }
    const std::string value(
        equals == std::string_view::npos ? "" : text.substr(equals + 1));
    BOOST_LEAF_CHECK(this->Check(*declaration, variable, value));
    settings.values[declaration->name] = {value,
                                          Settings::Origin::kEnvironment};
  }
  return {};
}

auto SettingsBuilder::ReadFlags(Settings& settings, int argc, char** argv) const
    -> leaf::result<void> {
  std::vector<option> options{
      {"help", no_argument, nullptr, kHelpOption},
      {"version", no_argument, nullptr, kVersionOption},
      {"print-settings", no_argument, nullptr, kPrintSettingsOption}};
  for (std::size_t i = 0; i < this->declarations.size(); ++i) {
    options.push_back({this->declarations[i].name.c_str(), required_argument,
                       nullptr, kFirstSettingOption + static_cast<int>(i)});
  }
  options.push_back({nullptr, 0, nullptr, 0});
  // GNU getopt: restart the scan, so that Parse can be called again.
  optind = 0;
  opterr = 0;
  int option_code = 0;
  // NOLINTNEXTLINE(concurrency-mt-unsafe)
  while ((option_code =
              getopt_long(argc, argv, ":", options.data(), nullptr)) != -1) {
    if (option_code == kHelpOption) {
      settings.help = true;
    } else if (option_code == kVersionOption) {
      settings.version = true;
    } else if (option_code == kPrintSettingsOption) {
      settings.print_settings = true;
    } else if (option_code >= kFirstSettingOption) {
      const auto& declaration = this->declarations[static_cast<std::size_t>(
          option_code - kFirstSettingOption)];
      BOOST_LEAF_CHECK(
          this->Check(declaration, "--" + declaration.name, optarg));
      settings.values[declaration.name] = {optarg, Settings::Origin::kFlag};
    } else {
      const std::string flag = argv[optind - 1];
      return leaf::new_error(SettingsError{flag, option_code == ':'
                                                     ? "the flag needs a value"
                                                     : "unknown flag"});
    }
  }
  settings.arguments.assign(argv + optind, argv + argc);
  return {};
}

auto SettingsBuilder::Parse(int argc, char** argv, char** environment) const
    -> leaf::result<Settings> {
  Settings settings;
  for (const auto& declaration : this->declarations) {
    settings.values[declaration.name] = {declaration.default_value,
                                         Settings::Origin::kDefault};
  }
  BOOST_LEAF_CHECK(this->ReadEnvironment(settings, environment));
  BOOST_LEAF_CHECK(this->ReadFlags(settings, argc, argv));
  if (settings.help || settings.version) {
    return settings;
  }
  for (const auto& declaration : this->declarations) {
    if (declaration.required && settings.Text(declaration.name).empty()) {
      return leaf::new_error(SettingsError{
          "--" + declaration.name, "must be given (or " +
                                       EnvironmentName(declaration.name) +
                                       "): " + declaration.help});
    }
  }
  return settings;
}

auto SettingsBuilder::Help() const -> std::string {
  std::ostringstream out;
  out << "usage: " << this->program << " [flags]\n\n"
      << this->summary << "\n\nflags:\n";
  for (const auto& declaration : this->declarations) {
    out << "  --" << declaration.name << " VALUE  " << declaration.help;
    if (declaration.required) {
      out << " (required)";
    } else {
      out << " (default '" << declaration.default_value << "')";
    }
    out << "\n      environment: " << EnvironmentName(declaration.name) << "\n";
  }
  out << "  --print-settings  print the effective settings and exit\n"
         "  --help            print this help and exit\n"
         "  --version         print the version and exit\n";
  return out.str();
}

}  // namespace shallotbank
