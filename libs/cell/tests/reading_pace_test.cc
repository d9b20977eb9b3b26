#include <boost/test/unit_test.hpp>

#include "cell/reading_pace.h"

namespace shallotbank::cell {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct PauseCase {
  const char* name;
  ProgressRole role;
  milliseconds since_news;
  milliseconds longest;
};

// A host that takes over begins once it has read all progress. Were it to read
// as seldom as one that is told, the cell would be without a leader for up to a
// second.
BOOST_AUTO_TEST_CASE(hosts_read_as_often_as_they_need) {
  const PauseCase cases[] = {
      {"takes over, was told a moment ago", ProgressRole::kTakesOver,
       milliseconds(10), milliseconds(0)},
      {"follows without news", ProgressRole::kFollows, seconds(2),
       milliseconds(60)},
      {"follows with news", ProgressRole::kFollows, milliseconds(10),
       seconds(1)},
      {"leads", ProgressRole::kLeads, seconds(9), seconds(1)},
  };
  for (const auto& one : cases) {
    BOOST_TEST_CONTEXT(one.name) {
      BOOST_TEST((ProgressPause(one.role, one.since_news) <= one.longest));
    }
  }
  BOOST_TEST((ProgressPause(ProgressRole::kLeads, seconds(0)) >
              ProgressPause(ProgressRole::kFollows, seconds(2))));
}

}  // namespace
}  // namespace shallotbank::cell
