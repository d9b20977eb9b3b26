#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <cstdlib>

#include "parse_support.h"

namespace shallotbank::configuration {
namespace {

struct FixedSeed {
  FixedSeed() {
    setenv("RC_PARAMS", "seed=20261204 max_success=500 noshrink=1", 1);
  }
};
BOOST_TEST_GLOBAL_FIXTURE(FixedSeed);

auto Number(int bound) -> std::string {
  return std::to_string(*rc::gen::inRange(0, bound));
}

/// Generates a change that is often invalid or refers to a missing item.
auto RandomChange() -> ConfigurationChange {
  const auto kind = static_cast<ItemKind>(*rc::gen::inRange(0, 7));
  auto name = kind == ItemKind::kPolicy ? "policy" : "n" + Number(2);
  if (*rc::gen::inRange(0, 4) == 0) {
    return {kind, name, std::nullopt};
  }
  std::string value = R"({"name":")" + name + "\"";
  switch (kind) {
    case ItemKind::kPolicy:
      value = R"({"largest_workers":[{"cores_milli":)" + Number(4) + "}]";
      break;
    case ItemKind::kTeam:
      value +=
          R"(,"organisation":"n)" + Number(2) +
          R"(","limit":{"cores_milli":2,"tasks":1},"share":{"cores_milli":)" +
          Number(4) + "}";
      break;
    case ItemKind::kKey:
      value += R"(,"team":"n)" + Number(2) + R"(","sha256":")" +
               Sha256Hex(Number(3)) + "\"";
      break;
    case ItemKind::kProfile:
      value += R"(,"queue":"n)" + Number(2) +
               R"(","class":"batch","need":{"cores_milli":)" + Number(4) + "}";
      break;
    default:
      break;
  }
  return {kind, name, value + "}"};
}

// Guards against a rejected change that is partly applied, a check of the
// changed items that misses an error which a check of the whole file finds, and
// a diff that does not produce the published configuration.
BOOST_AUTO_TEST_CASE(ApplyDiffAndParseAgree) {
  int refused = 0;
  BOOST_TEST(rc::check("changes, differences and whole files agree", [&] {
    Configuration now;
    for (int i = 0; i < 15; ++i) {
      const auto before = now;
      const std::vector<ConfigurationChange> changes{RandomChange()};
      const auto after = Collect([&] { return Apply(before, changes); });
      const auto is_applied = static_cast<bool>(ApplyTo(now, changes));
      RC_ASSERT(is_applied == after.errors.empty());
      refused += is_applied ? 0 : 1;
      RC_ASSERT((now == (is_applied ? after.configuration : before)));
      const auto whole = Parse(ToJson(now));
      RC_ASSERT(whole.errors.empty());
      RC_ASSERT((whole.configuration == now));
      const auto diff = Diff(before, now);
      const auto moved = Collect([&] { return Apply(before, diff); });
      RC_ASSERT(moved.errors.empty());
      RC_ASSERT((moved.configuration == now));
      for (const auto* team : {"n0", "n1"}) {
        for (const auto* secret : {"0", "1", "2"}) {
          RC_ASSERT(now.Authenticate(TeamId(team), secret) ==
                    whole.configuration.Authenticate(TeamId(team), secret));
        }
      }
    }
  }));
  BOOST_TEST(refused > 1000);
}

// Guards against malformed files and change requests that crash the parser.
BOOST_AUTO_TEST_CASE(MutatedBytes) {
  const std::string file =
      R"({"format":"1.0","expected_version":1,"changes":[{"kind":"team","name":"t",
"value":{"name":"t"}}],"teams":[{"name":"t","limit":{"tasks":1}}]})";
  BOOST_TEST(rc::check("every damaged text is refused with a reason", [&] {
    auto text = file;
    const auto place = *rc::gen::inRange<std::size_t>(0, text.size());
    text.replace(place, *rc::gen::inRange<std::size_t>(0, 9),
                 *rc::gen::arbitrary<std::string>());
    const auto parsed = Parse(text);
    RC_ASSERT(!parsed.errors.empty());
    for (const auto& error : parsed.errors) {
      RC_ASSERT(!error.reason.empty());
      RC_ASSERT(!error.message.empty());
      RC_ASSERT(error.reason == "syntax" || !error.path.empty() ||
                error.reason == "wrong_type");
    }
    static_cast<void>(static_cast<bool>(ParseChangeRequest(text)));
  }));
}

// Guards against a description that reveals a key hash or omits a change.
BOOST_AUTO_TEST_CASE(DescribeChanges) {
  const Configuration empty;
  const auto text = Describe(
      empty, {{ItemKind::kOrganisation, "o", R"({"name":"o","weight":2})"},
              {ItemKind::kKey, "k", R"({"name":"k","sha256":"abc"})"},
              {ItemKind::kQueue, "q", std::nullopt}});
  BOOST_TEST(text.find("+ organisation o: ") == 0U);
  BOOST_TEST(text.find("weight (none) -> 2;") != std::string::npos);
  BOOST_TEST(text.find("abc") == std::string::npos);
  BOOST_TEST(text.find("- queue q\n") != std::string::npos);
}

}  // namespace
}  // namespace shallotbank::configuration
