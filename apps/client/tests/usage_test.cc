#include <boost/test/unit_test.hpp>

#include "client_run.h"
#include "command.h"

namespace shallotbank::client {
namespace {

struct UsageCase {
  std::vector<std::string> environment;
  std::vector<std::string> arguments;
  std::string expected_message;
};

// Guards against invalid input that is accepted, or rejected by a message that
// does not name it.
BOOST_AUTO_TEST_CASE(InvalidInputIsRejectedByName) {
  const std::vector<UsageCase> cases{
      {{}, {}, "command is missing"},
      {{}, {"sing"}, "'sing'"},
      {{}, {"status"}, "usage: shallotbank status"},
      {{}, {"status", "a", "b"}, "usage: shallotbank status"},
      {{}, {"status", "../hosts"}, "'../hosts' is not the id of a job"},
      {{}, {"status", "--team"}, "--team: the flag needs a value"},
      {{}, {"status", "--shard", "x", "j"}, "--shard: unknown"},
      {{}, {"list", "--json=yes"}, "--json: unknown or misused"},
      {{}, {"list", "--team", "a\r\nShallotbank-Key: b"}, "--team: must be"},
      {{}, {"submit", "grind", "--tasks", "0"}, "--tasks: '0'"},
      {{}, {"request", "q", "--deadline", "3"}, "--deadline: '3'"},
      {{}, {"list", "--entry", "10.0.0.1:80"}, "--entry: '10.0.0.1:80'"},
      {{}, {"list"}, "no entry host is given"},
      {{"SHALLOTBANK_ENTRI=x"}, {"list"}, "SHALLOTBANK_ENTRI: unknown"},
      {{"SHALLOTBANK_TIMEOUT=soon"}, {"list"}, "SHALLOTBANK_TIMEOUT: 'soon'"},
      {{"SHALLOTBANK_KEY=two words"}, {"list"}, "SHALLOTBANK_KEY: a key is"},
      {{"SHALLOTBANK_ENTRY=http://127.0.0.1:1"}, {"hosts"}, "operator key"},
      {{}, {"list", "--key-file", "no/such/file"}, "--key-file: cannot read"},
      {{}, {"publish", "no/such/file"}, "cannot read no/such/file"}};
  for (const auto& test_case : cases) {
    const auto run =
        RunWithEnvironment(test_case.environment, test_case.arguments, "{}");
    BOOST_TEST_CONTEXT(test_case.expected_message) {
      BOOST_TEST(run.code == static_cast<int>(ExitStatus::kUsage));
      BOOST_TEST(run.err.find(test_case.expected_message) != std::string::npos,
                 run.err);
      BOOST_TEST(run.out == "");
    }
  }
}

// Guards against a command or flag without help.
BOOST_AUTO_TEST_CASE(EveryCommandHasHelp) {
  const auto general = RunWithEnvironment({}, {"--help"});
  BOOST_TEST(general.code == 0);
  for (const auto& command : AllCommands()) {
    const auto run =
        RunWithEnvironment({}, {std::string(command.name), "--help"});
    BOOST_TEST_CONTEXT(command.name) {
      BOOST_TEST(general.out.find(command.name) != std::string::npos);
      BOOST_TEST(run.code == 0);
      BOOST_TEST(run.out.find(command.summary) != std::string::npos);
      BOOST_TEST(run.out.find("exit codes:") != std::string::npos);
      for (const auto& flag : command.flags) {
        BOOST_TEST(run.out.find("--" + std::string(flag)) != std::string::npos);
      }
    }
  }
}

}  // namespace
}  // namespace shallotbank::client
