#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "failure.h"

namespace shallotbank::client {

/// The type of the value of a flag; a switch has none.
enum class FlagKind { kSwitch, kString, kDuration, kNumber };

struct Flag {
  std::string_view name;
  FlagKind kind = FlagKind::kString;
  std::string_view value_name;  ///< Placeholder for the value in `--help`.
  std::string_view help;
  /// The environment variable that sets the flag, or empty. A flag on the
  /// command line takes precedence.
  std::string_view environment_variable;
};

/// The flags of all subcommands.
auto AllFlags() -> const std::vector<Flag>&;
auto FindFlag(std::string_view name) -> const Flag&;

/// Environment variables that hold secrets. Secrets have no flags.
inline constexpr std::string_view kTeamKeyVariable = "SHALLOTBANK_KEY";
inline constexpr std::string_view kOperatorKeyVariable =
    "SHALLOTBANK_OPERATOR_KEY";
inline constexpr std::string_view kNewKeyVariable = "SHALLOTBANK_NEW_KEY";

/// The validated flags, environment variables and arguments of a subcommand.
class Options {
 public:
  auto Has(std::string_view flag) const -> bool;
  /// Returns the value of a flag, or an empty string if it is not set.
  auto String(std::string_view flag) const -> std::string;
  auto Number(std::string_view flag) const -> std::optional<std::int64_t>;
  auto DurationOr(std::string_view flag, Duration fallback) const -> Duration;
  auto List(std::string_view flag) const -> std::vector<std::string>;
  /// Returns a secret from the environment, or an empty string.
  auto Secret(std::string_view variable) const -> std::string;
  auto Arguments() const -> const std::vector<std::string>& {
    return this->arguments;
  }

 private:
  friend class OptionsParser;
  std::map<std::string, std::string, std::less<>> values;
  std::map<std::string, std::string, std::less<>> secrets;
  std::vector<std::string> arguments;
};

/// Parses the environment, the flags listed in `flags` and the arguments.
/// `argv[0]` is the name of the subcommand. Errors: `Failure` with kUsage.
auto ParseOptions(const std::vector<std::string_view>& flags,
                  int argc,
                  char** argv,
                  char** environment) -> boost::leaf::result<Options>;

}  // namespace shallotbank::client
