#pragma once

#include <istream>
#include <ostream>
#include <string_view>
#include <vector>

#include "entry_client.h"
#include "options.h"

namespace shallotbank::client {

/// The options, streams and connection that a subcommand runs with.
struct Session {
  const Options& options;
  std::istream& in;
  std::ostream& out;
  std::ostream& err;
  EntryClient& entry;
};

/// Describes a subcommand and the function that runs it.
struct Command {
  std::string_view name;
  std::string_view arguments;  ///< Synopsis shown by `--help`.
  std::string_view summary;
  std::string_view details;
  std::vector<std::string_view> flags;  ///< In addition to `CommonFlags`.
  std::size_t min_arguments = 0;
  std::size_t max_arguments = 0;
  auto(*run)(Session&) -> boost::leaf::result<void>;
};

auto ConfigurationCommands() -> std::vector<Command>;
auto KeyCommands() -> std::vector<Command>;
auto JobCommands() -> std::vector<Command>;
auto RequestCommands() -> std::vector<Command>;
auto CellCommands() -> std::vector<Command>;

auto AllCommands() -> std::vector<Command>;

/// Flags that every subcommand accepts.
auto CommonFlags() -> const std::vector<std::string_view>&;

auto CommandHelp(const Command& command) -> std::string;
auto GeneralHelp() -> std::string;

/// Builds the header that carries the operator key. Errors: `Failure`.
auto OperatorHeaders(const Options& options)
    -> boost::leaf::result<std::vector<http::Header>>;
/// Builds the headers that carry the team name and its key, as far as they are
/// given. Errors: `Failure`.
auto TeamHeaders(const Options& options)
    -> boost::leaf::result<std::vector<http::Header>>;

/// Generates a random id for a request id or an idempotency key.
auto RandomId() -> std::string;

/// Returns the member `name` of `object`: a string as is, any other value as
/// JSON text, a missing member as an empty string.
auto MemberText(const nlohmann::json& object, const char* name) -> std::string;

}  // namespace shallotbank::client
