#pragma once

#include <istream>
#include <ostream>
#include <string_view>
#include <vector>

#include "entry_client.h"
#include "options.h"

namespace shallotbank::client {

/// What a subcommand works with.
struct Session {
  const Options& options;
  std::istream& in;
  std::ostream& out;
  std::ostream& err;
  EntryClient& entry;
};

/// A subcommand.
struct Command {
  std::string_view name;
  std::string_view arguments;  ///< As `--help` shows them.
  std::string_view summary;
  std::string_view details;
  std::vector<std::string_view> flags;  ///< Beside those of all subcommands.
  std::size_t least_arguments = 0;
  std::size_t most_arguments = 0;
  auto(*run)(Session&) -> boost::leaf::result<void>;
};

auto ConfigurationCommands() -> std::vector<Command>;
auto KeyCommands() -> std::vector<Command>;
auto JobCommands() -> std::vector<Command>;
auto RequestCommands() -> std::vector<Command>;
auto CellCommands() -> std::vector<Command>;

auto AllCommands() -> std::vector<Command>;

/// The flags that every subcommand takes.
auto CommonFlags() -> const std::vector<std::string_view>&;

auto HelpOf(const Command& command) -> std::string;
auto GeneralHelp() -> std::string;

/// Headers that carry the operator key. Errors: `Failure`.
auto OperatorHeaders(const Options& options)
    -> boost::leaf::result<std::vector<http::Header>>;
/// Headers that name the team and carry its key. Errors: `Failure`.
auto TeamHeaders(const Options& options)
    -> boost::leaf::result<std::vector<http::Header>>;

/// A random id that no other call has.
auto RandomId() -> std::string;

/// The member `name` of `object` as text; empty if it is missing.
auto TextOf(const nlohmann::json& object, const char* name) -> std::string;

}  // namespace shallotbank::client
