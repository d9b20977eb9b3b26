#include "base/settings.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace shallotbank {
namespace {

namespace leaf = boost::leaf;

struct Case {
  const char* name;
  std::vector<std::string> flags;
  std::vector<std::string> environment;
  std::string error_setting;  // Empty if the settings are valid.
  std::string listen;
  std::int64_t threads;
};

auto operator<<(std::ostream& out, const Case& c) -> std::ostream& {
  return out << c.name;
}

const std::vector<Case> kCases{
    {"defaults", {"--listen", "a"}, {}, "", "a", 4},
    {"environment", {}, {"SHALLOTBANK_LISTEN=b"}, "", "b", 4},
    {"flag wins", {"--listen", "a"}, {"SHALLOTBANK_LISTEN=b"}, "", "a", 4},
    {"missing", {}, {}, "--listen", "", 0},
    {"unknown flag", {"--lisen", "a"}, {}, "--lisen", "", 0},
    {"flag without value", {"--listen"}, {}, "--listen", "", 0},
    {"unknown variable",
     {},
     {"SHALLOTBANK_LISEN=b"},
     "SHALLOTBANK_LISEN",
     "",
     0},
    {"integer out of range",
     {"--listen", "a", "--threads", "0"},
     {},
     "--threads",
     "",
     0},
    {"not an integer",
     {"--listen", "a", "--threads", "4x"},
     {},
     "--threads",
     "",
     0},
    {"bad time", {"--listen", "a", "--wait", "3"}, {}, "--wait", "", 0},
    {"negative time", {"--listen", "a", "--wait", "-3s"}, {}, "--wait", "", 0},
    {"bad variable value",
     {"--listen", "a"},
     {"SHALLOTBANK_THREADS="},
     "SHALLOTBANK_THREADS",
     "",
     0},
};

auto Pointers(std::vector<std::string>& texts) -> std::vector<char*> {
  std::vector<char*> result;
  for (auto& text : texts) {
    result.push_back(text.data());
  }
  result.push_back(nullptr);
  return result;
}

// Guards against settings that are silently ignored or misread.
BOOST_DATA_TEST_CASE(Parse, kCases, c) {
  SettingsBuilder builder("program", "summary");
  builder.RequiredText("listen", "address")
      .Integer("threads", 4, 1, 64, "threads")
      .Time("wait", std::chrono::milliseconds(250), "wait");
  auto flags = c.flags;
  flags.insert(flags.begin(), "program");
  auto environment = c.environment;
  auto argv = Pointers(flags);
  auto envp = Pointers(environment);
  std::string error_setting;
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(settings, builder.Parse(static_cast<int>(flags.size()),
                                                argv.data(), envp.data()));
        BOOST_TEST(settings.Text("listen") == c.listen);
        BOOST_TEST(settings.Integer("threads") == c.threads);
        BOOST_TEST((settings.Time("wait") == std::chrono::milliseconds(250)));
        return {};
      },
      [&](const SettingsError& error) { error_setting = error.setting; },
      [] { BOOST_FAIL("error without a SettingsError"); });
  BOOST_TEST(error_setting == c.error_setting);
}

}  // namespace
}  // namespace shallotbank
