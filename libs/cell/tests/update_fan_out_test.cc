#include <algorithm>
#include <ostream>
#include <set>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "cell/update_fan_out.h"

namespace shallotbank::cell {
namespace {

using std::chrono::seconds;

constexpr HostCapacity kSmall{120, 10'000};
constexpr HostCapacity kLarge{500, 200'000};

auto NameOf(std::size_t host) -> std::string {
  return "10.0.0." + std::to_string(host) + ":1";
}

auto HostsOf(std::size_t count, std::size_t large = 0)
    -> std::vector<UpdateReceiver> {
  std::vector<UpdateReceiver> hosts;
  for (std::size_t i = 0; i < count; i++) {
    hosts.push_back({NameOf(i), i + large >= count ? kLarge : kSmall});
  }
  return hosts;
}

struct SizeCase {
  const char* name;
  std::size_t hosts;
  std::size_t groups;
  std::size_t max_size;
};

auto operator<<(std::ostream& out, const SizeCase& c) -> std::ostream& {
  return out << c.name;
}

const std::vector<SizeCase> kSizes{
    {"no other host", 0, 0, 0},     {"one host", 1, 1, 1},
    {"few hosts", 6, 6, 1},         {"just too many", 7, 3, 3},
    {"a square number", 16, 4, 4},  {"some hosts", 11, 4, 3},
    {"the largest cell", 39, 7, 6},
};

// Guards against a host that gets no updates or gets them twice.
BOOST_DATA_TEST_CASE(EachHostIsInOneGroup, kSizes, c) {
  const ManualClock clock;
  UpdateFanOut fan_out;
  const auto groups = fan_out.Groups(HostsOf(c.hosts), clock.Now());
  BOOST_TEST(groups.size() == c.groups);
  std::multiset<std::string> reached;
  for (const auto& group : groups) {
    BOOST_TEST(!group.empty());
    BOOST_TEST(group.size() <= c.max_size);
    reached.insert(group.begin(), group.end());
  }
  std::multiset<std::string> expected;
  for (const auto& host : HostsOf(c.hosts)) {
    expected.insert(host.endpoint);
  }
  BOOST_TEST((reached == expected));
}

struct LargeCase {
  const char* name;
  std::size_t large;
  std::size_t expected;  ///< Groups whose first host is large.
};

auto operator<<(std::ostream& out, const LargeCase& c) -> std::ostream& {
  return out << c.name;
}

const std::vector<LargeCase> kLargeCases{
    {"no large host", 0, 0},
    {"fewer large hosts than groups", 2, 2},
    {"more large hosts than groups", 9, 4},
};

// Guards against small hosts that pass on updates beside larger ones.
BOOST_DATA_TEST_CASE(LargeHostsComeFirst, kLargeCases, c) {
  const ManualClock clock;
  UpdateFanOut fan_out;
  const auto hosts = HostsOf(16, c.large);
  const auto groups = fan_out.Groups(hosts, clock.Now());
  const auto large = std::count_if(
      groups.begin(), groups.end(), [&hosts](const UpdateGroup& group) {
        return std::any_of(
            hosts.begin(), hosts.end(), [&group](const UpdateReceiver& host) {
              return host.endpoint == group.front() && host.capacity == kLarge;
            });
      });
  BOOST_TEST(large == static_cast<std::ptrdiff_t>(c.expected));
}

struct FailureCase {
  const char* name;
  std::vector<std::size_t> failed;  ///< In this order.
  std::vector<std::size_t> succeeded;
  seconds later;
  std::size_t groups;
  std::vector<std::size_t> not_first;  ///< In a group of several hosts.
};

auto operator<<(std::ostream& out, const FailureCase& c) -> std::ostream& {
  return out << c.name;
}

const std::vector<std::size_t> kAllButOne{0, 1, 2, 3, 4, 5, 6, 7};

const std::vector<FailureCase> kFailures{
    {"no failure", {}, {}, seconds(0), 3, {}},
    {"one host", {0}, {}, seconds(0), 3, {0}},
    {"two hosts", {0, 1}, {}, seconds(0), 3, {0, 1}},
    {"a host that answers again", {0}, {0}, seconds(0), 3, {}},
    {"some time ago", {0}, {}, seconds(5), 3, {}},
    {"none answers", {0, 1, 2}, {}, seconds(0), 9, {}},
    {"one answers after that", {0, 1, 2}, {3}, seconds(0), 3, {0, 1, 2}},
    {"one host passes on, to no more hosts than usual",
     kAllButOne,
     {8},
     seconds(0),
     7,
     kAllButOne},
};

// Guards against a host that does not answer and still has others wait for it.
BOOST_DATA_TEST_CASE(FailedHostsPassNothingOn, kFailures, c) {
  ManualClock clock;
  UpdateFanOut fan_out;
  for (const auto host : c.failed) {
    fan_out.OnFailure(NameOf(host), clock.Now());
  }
  for (const auto host : c.succeeded) {
    fan_out.OnSuccess(NameOf(host));
  }
  clock.Advance(c.later);
  const auto groups = fan_out.Groups(HostsOf(9), clock.Now());
  BOOST_TEST(groups.size() == c.groups);
  for (const auto& group : groups) {
    for (const auto host : c.not_first) {
      BOOST_TEST((group.size() == 1 || group.front() != NameOf(host)));
    }
  }
}

}  // namespace
}  // namespace shallotbank::cell
