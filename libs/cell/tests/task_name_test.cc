#include <boost/test/unit_test.hpp>

#include <optional>

#include "cell/job.h"

namespace shallotbank::cell {
namespace {

struct NameCase {
  const char* name;
  const char* text;
  std::optional<TaskPosition> expected;
};

BOOST_AUTO_TEST_CASE(task_names_are_parsed) {
  const NameCase cases[] = {
      {"first task", "5c0e7a2100000001.0.0.0", TaskPosition{0, 0, 0}},
      {"large numbers", "5c0e7a2100000001.70000.3.19999",
       TaskPosition{70'000, 3, 19'999}},
      {"no numbers", "5c0e7a2100000001", std::nullopt},
      {"too few numbers", "5c0e7a2100000001.1.2", std::nullopt},
      {"empty number", "5c0e7a2100000001.0..1", std::nullopt},
      {"not a number", "5c0e7a2100000001.0.0.1x", std::nullopt},
      {"negative number", "5c0e7a2100000001.0.-1.1", std::nullopt},
      {"number beyond the range", "5c0e7a2100000001.0.0.99999999999999999999",
       std::nullopt},
  };
  for (const auto& test_case : cases) {
    BOOST_TEST_CONTEXT(test_case.name) {
      BOOST_TEST((ParseTaskName(TaskId(test_case.text)) == test_case.expected));
    }
  }
}

BOOST_AUTO_TEST_CASE(the_name_of_a_task_tells_its_position) {
  const TaskPosition position{12, 3, 456};
  const auto name = TaskName(JobId("5c0e7a2100000001"), position.occurrence,
                             position.step, position.index);
  BOOST_TEST((ParseTaskName(name) == position));
}

}  // namespace
}  // namespace shallotbank::cell
