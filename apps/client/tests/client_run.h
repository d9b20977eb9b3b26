#pragma once

#include <sstream>
#include <string>
#include <vector>

#include "run_client.h"

namespace shallotbank::client {

/// Exit code and output of one run of the client.
struct ClientRun {
  int code = 0;
  std::string out;
  std::string err;
};

inline constexpr const char* kTeamSecret = "team-secret-for-tests";
inline constexpr const char* kOperatorSecret = "operator-secret-for-tests";

inline auto ToPointers(std::vector<std::string>& strings)
    -> std::vector<char*> {
  std::vector<char*> pointers;
  for (auto& value : strings) {
    pointers.push_back(value.data());
  }
  pointers.push_back(nullptr);
  return pointers;
}

inline auto RunWithEnvironment(std::vector<std::string> environment,
                               std::vector<std::string> arguments,
                               const std::string& input = "") -> ClientRun {
  arguments.insert(arguments.begin(), "shallotbank");
  auto argv = ToPointers(arguments);
  auto environment_pointers = ToPointers(environment);
  std::istringstream in(input);
  std::ostringstream out;
  std::ostringstream err;
  const int code = RunClient(static_cast<int>(arguments.size()), argv.data(),
                             environment_pointers.data(), in, out, err);
  return {code, out.str(), err.str()};
}

/// Runs the client against the entry hosts `entries`, with the team key and the
/// operator key in the environment.
inline auto Run(const std::string& entries,
                std::vector<std::string> arguments,
                const std::string& input = "") -> ClientRun {
  return RunWithEnvironment(
      {"SHALLOTBANK_ENTRY=" + entries, "SHALLOTBANK_TEAM=serra",
       std::string("SHALLOTBANK_KEY=") + kTeamSecret,
       std::string("SHALLOTBANK_OPERATOR_KEY=") + kOperatorSecret},
      std::move(arguments), input);
}

}  // namespace shallotbank::client
