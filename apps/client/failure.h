#pragma once

#include <string>

#include <boost/leaf.hpp>

namespace shallotbank::client {

/// Exit codes of the client, as documented by `--help`.
enum class ExitStatus : int {
  kOk = 0,
  kFailed = 1,
  kUsage = 2,
  kNotRun = 3,  ///< Refused without side effects; a retry is safe.
  kMayHaveRun = 4,
  kConflict = 5,
  kNotFound = 6,
  kTimeout = 7,
};

/// Why a command failed. Never contains a secret.
struct Failure {
  ExitStatus status = ExitStatus::kFailed;
  std::string message;
  std::string next_step;  ///< Advice to the user, or empty.
};

auto Fail(ExitStatus status, std::string message, std::string next_step = "")
    -> boost::leaf::error_id;

}  // namespace shallotbank::client
