#include <boost/test/unit_test.hpp>

#include <string>

#include "cell/peer_directory.h"

namespace shallotbank::cell {
namespace {

using std::chrono::seconds;

// Guards against a running process that counts as ended, because the store
// executed the last announcement of its predecessor after the first of its own.
BOOST_AUTO_TEST_CASE(a_late_announcement_does_not_end_the_running_process) {
  ManualClock clock;
  PeerDirectory peers("h1", "10.0.0.1:1", {});
  const auto announce = [&](const std::string& process, const char* sign) {
    peers.OnAnnouncement(
        "h2", EncodeAnnouncement({"10.0.0.2:1", process, sign, std::nullopt}),
        clock.Now());
    clock.Advance(seconds(3));
  };
  announce("second", "1");
  announce("first", "0");
  for (const auto* sign : {"2", "3", "4"}) {
    announce("second", sign);
  }
  BOOST_TEST(!peers.HasEnded("h2", "second"));
}

}  // namespace
}  // namespace shallotbank::cell
