#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <sstream>

#include "configuration/configuration_json.h"
#include "parse_support.h"

namespace shallotbank::configuration {
namespace {

const std::vector<std::string> kExamples{"caxias.json", "riga.json"};

// Guards against a documented example that the parser rejects, and against a
// serialized file that does not parse back to the same configuration.
BOOST_DATA_TEST_CASE(ExampleRoundTrip, kExamples, name) {
  std::ifstream in(std::string(EXAMPLES_DIR) + "/" + name);
  std::ostringstream text;
  text << in.rdbuf();
  const auto parsed = Parse(text.str());
  BOOST_TEST_REQUIRE(Reasons(parsed.errors) == "");
  BOOST_TEST(parsed.configuration.Teams().size() == 7U);
  BOOST_TEST(parsed.configuration.Profiles().size() == 3U);
  const auto written = ToJson(parsed.configuration);
  const auto again = Parse(written);
  BOOST_TEST((again.configuration == parsed.configuration));
  BOOST_TEST(ToJson(again.configuration) == written);
}

}  // namespace
}  // namespace shallotbank::configuration
