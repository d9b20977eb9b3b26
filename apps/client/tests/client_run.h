#pragma once

#include <sstream>
#include <string>
#include <vector>

#include "run_client.h"

namespace shallotbank::client {

/// The outcome of one run of the client.
struct ClientRun {
  int code = 0;
  std::string out;
  std::string err;
};

inline constexpr const char* kTeamSecret = "team-secret-for-tests";
inline constexpr const char* kOperatorSecret = "operator-secret-for-tests";

inline auto Pointers(std::vector<std::string>& texts) -> std::vector<char*> {
  std::vector<char*> pointers;
  for (auto& text : texts) {
    pointers.push_back(text.data());
  }
  pointers.push_back(nullptr);
  return pointers;
}

inline auto RunWith(std::vector<std::string> environment,
                    std::vector<std::string> arguments,
                    const std::string& input = "") -> ClientRun {
  arguments.insert(arguments.begin(), "shallotbank");
  auto argv = Pointers(arguments);
  auto environment_pointers = Pointers(environment);
  std::istringstream in(input);
  std::ostringstream out;
  std::ostringstream err;
  const int code = RunClient(static_cast<int>(arguments.size()), argv.data(),
                             environment_pointers.data(), in, out, err);
  return {code, out.str(), err.str()};
}

/// Runs the client against `entries` with both secrets in the environment.
inline auto Run(const std::string& entries,
                std::vector<std::string> arguments,
                const std::string& input = "") -> ClientRun {
  return RunWith({"SHALLOTBANK_ENTRY=" + entries, "SHALLOTBANK_TEAM=serra",
                  std::string("SHALLOTBANK_KEY=") + kTeamSecret,
                  std::string("SHALLOTBANK_OPERATOR_KEY=") + kOperatorSecret},
                 std::move(arguments), input);
}

}  // namespace shallotbank::client
