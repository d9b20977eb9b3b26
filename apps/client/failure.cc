#include "failure.h"

namespace shallotbank::client {

auto Fail(ExitStatus status, std::string message, std::string next_step)
    -> boost::leaf::error_id {
  return boost::leaf::new_error(
      Failure{status, std::move(message), std::move(next_step)});
}

}  // namespace shallotbank::client
