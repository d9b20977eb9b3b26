#include <boost/test/unit_test.hpp>

#include "cell/reading_pace.h"

namespace shallotbank::cell {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct PauseCase {
  const char* name;
  ProgressRole role;
  milliseconds since_update;
  milliseconds longest;
};

// A new leader starts once it has read all progress. If it read as rarely as a
// host that receives updates, the cell would have no leader for up to a second.
BOOST_AUTO_TEST_CASE(read_delay_depends_on_the_role) {
  const PauseCase cases[] = {
      {"takes over with updates", ProgressRole::kTakingOver, milliseconds(10),
       milliseconds(0)},
      {"follows without updates", ProgressRole::kFollower, seconds(2),
       milliseconds(60)},
      {"follows with updates", ProgressRole::kFollower, milliseconds(10),
       seconds(1)},
      {"observes without updates", ProgressRole::kObserver, seconds(9),
       milliseconds(400)},
      {"leads", ProgressRole::kLeader, seconds(9), seconds(1)},
  };
  for (const auto& test_case : cases) {
    BOOST_TEST_CONTEXT(test_case.name) {
      BOOST_TEST((ProgressReadDelay(test_case.role, test_case.since_update) <=
                  test_case.longest));
    }
  }
  BOOST_TEST((ProgressReadDelay(ProgressRole::kLeader, seconds(0)) >
              ProgressReadDelay(ProgressRole::kFollower, seconds(2))));
}

}  // namespace
}  // namespace shallotbank::cell
