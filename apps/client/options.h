#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "failure.h"

namespace shallotbank::client {

/// What a flag takes.
enum class FlagKind { kSwitch, kText, kTime, kNumber };

struct Flag {
  std::string_view name;
  FlagKind kind = FlagKind::kText;
  std::string_view value;  ///< What `--help` calls the value.
  std::string_view help;
  /// The environment variable that stands in for the flag, or empty.
  std::string_view environment;
};

/// Every flag of every subcommand.
auto AllFlags() -> const std::vector<Flag>&;
auto FindFlag(std::string_view name) -> const Flag&;

/// Environment variables that hold secrets; no flag takes these.
inline constexpr std::string_view kKeyVariable = "SHALLOTBANK_KEY";
inline constexpr std::string_view kOperatorKeyVariable =
    "SHALLOTBANK_OPERATOR_KEY";
inline constexpr std::string_view kNewKeyVariable = "SHALLOTBANK_NEW_KEY";

/// The checked flags, environment and arguments of one subcommand.
class Options {
 public:
  auto Has(std::string_view flag) const -> bool;
  /// The value of a flag, or empty.
  auto Text(std::string_view flag) const -> std::string;
  auto Number(std::string_view flag) const -> std::optional<std::int64_t>;
  auto Time(std::string_view flag, Duration otherwise) const -> Duration;
  auto List(std::string_view flag) const -> std::vector<std::string>;
  /// A secret from the environment, or empty.
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

/// Reads the flags called `flags`, the environment and the arguments. `argv[0]`
/// is the name of the subcommand. Errors: `Failure` with kUsage.
auto ParseOptions(const std::vector<std::string_view>& flags,
                  int argc,
                  char** argv,
                  char** environment) -> boost::leaf::result<Options>;

}  // namespace shallotbank::client
