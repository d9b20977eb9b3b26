#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <boost/leaf.hpp>

#include "base/clock.h"

namespace shallotbank {

/// A setting that is missing, unknown or malformed.
struct SettingsError {
  std::string setting;  ///< The invalid flag or environment variable.
  std::string message;
};

/// The validated settings of a process.
class Settings {
 public:
  /// Where a value came from.
  enum class Origin { kDefault, kEnvironment, kFlag };

  struct Value {
    std::string text;
    Origin origin = Origin::kDefault;
  };

  auto Text(const std::string& name) const -> const std::string&;
  auto Integer(const std::string& name) const -> std::int64_t;
  auto Time(const std::string& name) const -> Duration;
  /// The comma-separated elements of a text setting, without empty ones.
  auto List(const std::string& name) const -> std::vector<std::string>;

  auto IsHelp() const -> bool { return this->help; }
  auto IsVersion() const -> bool { return this->version; }
  auto IsPrintSettings() const -> bool { return this->print_settings; }
  /// Arguments that are not flags.
  auto Arguments() const -> const std::vector<std::string>& {
    return this->arguments;
  }
  /// One line per setting: name, value, origin.
  auto Describe() const -> std::string;

 private:
  friend class SettingsBuilder;
  std::map<std::string, Value> values;
  std::vector<std::string> arguments;
  bool help = false;
  bool version = false;
  bool print_settings = false;
};

/// Declares the settings of a process and reads them from flags (`--name
/// value`) and environment variables (`SHALLOTBANK_NAME`); flags take
/// precedence.
class SettingsBuilder {
 public:
  SettingsBuilder(std::string program, std::string summary);

  auto Text(std::string name, std::string default_value, std::string help)
      -> SettingsBuilder&;
  /// A text setting that must be given.
  auto RequiredText(std::string name, std::string help) -> SettingsBuilder&;
  auto Integer(std::string name,
               std::int64_t default_value,
               std::int64_t minimum,
               std::int64_t maximum,
               std::string help) -> SettingsBuilder&;
  /// A time written as a number with `ms` or `s`.
  auto Time(std::string name,
            std::chrono::milliseconds default_value,
            std::string help) -> SettingsBuilder&;

  /// Reads and validates all settings. `environment` is a null-terminated array
  /// like `environ`. Errors: `SettingsError`.
  auto Parse(int argc, char** argv, char** environment) const
      -> boost::leaf::result<Settings>;
  auto Help() const -> std::string;

 private:
  enum class Kind { kText, kInteger, kTime };
  struct Declaration {
    std::string name;
    Kind kind = Kind::kText;
    std::string default_value;
    bool required = false;
    std::int64_t minimum = 0;
    std::int64_t maximum = 0;
    std::string help;
  };

  auto Check(const Declaration& declaration,
             const std::string& source,
             const std::string& text) const -> boost::leaf::result<void>;
  auto ReadEnvironment(Settings& settings, char** environment) const
      -> boost::leaf::result<void>;
  auto ReadFlags(Settings& settings, int argc, char** argv) const
      -> boost::leaf::result<void>;
  auto Find(const std::string& name) const -> const Declaration*;

  std::string program;
  std::string summary;
  std::vector<Declaration> declarations;
};

/// Parses `250ms` or `3s`. Errors: `SettingsError` with an empty setting.
auto ParseDuration(const std::string& text) -> boost::leaf::result<Duration>;

}  // namespace shallotbank
