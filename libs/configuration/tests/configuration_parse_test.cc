#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "parse_support.h"

namespace shallotbank::configuration {
namespace {

// Each section starts on its own line, so that expected line numbers are easy
// to derive.
struct Sections {
  std::string format = R"("1.0")";
  std::string policy = R"({"largest_workers":[{"cores_milli":4000}]})";
  std::string organisations = R"([{"name":"o"}])";
  std::string teams = R"([{"name":"t","organisation":"o",
"limit":{"cores_milli":8000,"tasks":4},
"share":{"cores_milli":2000}}])";
  std::string keys = R"([])";
  std::string queues = R"([{"name":"q"}])";
  std::string services = R"([{"name":"s"}])";
  std::string profiles =
      R"([{"name":"p","queue":"q","class":"batch","need":{"cores_milli":4000}}])";
  std::string rest;

  auto Text() const -> std::string {
    return "{\"format\":" + this->format + ",\n\"policy\":" + this->policy +
           ",\n\"organisations\":" + this->organisations +
           ",\n\"teams\":" + this->teams + ",\n\"keys\":" + this->keys +
           ",\n\"queues\":" + this->queues +
           ",\n\"services\":" + this->services +
           ",\n\"profiles\":" + this->profiles + this->rest + "}";
  }
};

struct Case {
  const char* name;
  std::string Sections::*section;
  std::string text;
  std::string errors;
};

auto operator<<(std::ostream& out, const Case& c) -> std::ostream& {
  return out << c.name;
}

const std::string kHash(64, 'a');

const std::vector<Case> kCases{
    {"valid", &Sections::rest, "", ""},
    {"unknown section", &Sections::rest, ",\n\"x\":1", "x@11:unknown_field"},
    {"unknown field", &Sections::queues, R"([{"name":"q","opn":true}])",
     "queues[0].opn@8:unknown_field"},
    {"unknown field in a newer minor format", &Sections::format,
     "\"1.1\",\"x\":1", ""},
    {"other major format", &Sections::format, "\"2.0\"",
     "format@1:unsupported_format"},
    {"format without a minor version", &Sections::format, "\"1\"",
     "format@1:bad_value"},
    {"format of a wrong type", &Sections::format, "1", "format@1:wrong_type"},
    {"duplicate name", &Sections::services,
     "[{\"name\":\"s\"},\n{\"name\":\"s\"}]",
     "services[1].name@10:duplicate_name"},
    {"duplicate field", &Sections::services, R"([{"name":"s","name":"s"}])",
     "services[0].name@9:duplicate_field"},
    {"wrong type", &Sections::organisations, R"([{"name":"o","weight":1.5}])",
     "organisations[0].weight@3:wrong_type"},
    {"out of range", &Sections::organisations,
     "[{\"name\":\"o\",\"weight\":0\n}]",
     "organisations[0].weight@3:out_of_range"},
    {"number above 64 bits", &Sections::organisations,
     R"([{"name":"o","weight":18446744073709551615}])",
     "organisations[0].weight@3:out_of_range"},
    {"bad name", &Sections::organisations, R"([{"name":"o"},{"name":"a b"}])",
     "organisations[1].name@3:bad_value"},
    {"limit under share", &Sections::teams,
     R"([{"name":"t","organisation":"o",
"limit":{"cores_milli":1000,"tasks":1},
"share":{"cores_milli":2000}}])",
     "teams[0].limit@5:limit_under_share"},
    {"missing limit field", &Sections::teams,
     "[{\"name\":\"t\",\"organisation\":\"o\",\n\"limit\":{}}]",
     "teams[0].limit.tasks@5:missing_field"},
    {"unknown organisation", &Sections::teams,
     R"([{"name":"t","organisation":"x","limit":{"tasks":1}}])",
     "teams[0].organisation@4:unknown_reference"},
    {"key of an unknown team", &Sections::keys,
     R"([{"name":"k","team":"x","sha256":")" + kHash + "\"}]",
     "keys[0].team@7:unknown_reference"},
    {"plaintext key", &Sections::keys,
     R"([{"name":"k","team":"t","sha256":"secret"}])",
     "keys[0].sha256@7:bad_value"},
    {"profile that no worker holds", &Sections::profiles,
     R"([{"name":"p","queue":"q","class":"batch","need":{"cores_milli":4001}}])",
     "profiles[0].need@10:no_worker_fits"},
    {"profile of an unknown queue", &Sections::profiles,
     R"([{"name":"p","queue":"x","class":"gang","need":{"cores_milli":1}}])",
     "profiles[0].queue@10:unknown_reference"},
    {"repeated non-idempotent request", &Sections::profiles,
     R"([{"name":"p","queue":"q","class":"request","service":"s",
"deadline_ms":5,"attempts":2}])",
     "profiles[0].attempts@11:bad_value"},
    {"request without deadline and service", &Sections::profiles,
     R"([{"name":"p","queue":"q","class":"request"}])",
     "profiles[0].service@10:missing_field "
     "profiles[0].deadline_ms@10:missing_field"},
    {"task fields of a request", &Sections::profiles,
     R"([{"name":"p","queue":"q","class":"request","service":"s",
"deadline_ms":5,"lease_ms":9}])",
     "profiles[0].lease_ms@11:not_applicable"},
    {"both weights zero", &Sections::policy,
     R"({"waiting_weight":0,"share_weight":0})",
     "policy.waiting_weight@2:out_of_range"},
    {"syntax", &Sections::queues, "[{]", "queues[0]@8:syntax"},
    {"nested too deep", &Sections::queues, std::string(40, '['),
     "queues" + std::string("[0][0][0][0][0][0][0][0][0][0][0][0][0][0][0]") +
         "@8:syntax"},
    {"several faults at once", &Sections::queues, "[{\"open\":1},\n7]",
     "queues[0].name@8:missing_field queues[0].open@8:wrong_type "
     "queues[1]@9:wrong_type profiles[0].queue@11:unknown_reference"},
};

// Guards against an error that is accepted, or reported without its location.
BOOST_DATA_TEST_CASE(Faults, kCases, c) {
  Sections sections;
  sections.*c.section = c.text;
  BOOST_TEST(Reasons(Parse(sections.Text()).errors) == c.errors);
}

// Guards against a key that authenticates another team.
BOOST_AUTO_TEST_CASE(Authenticate) {
  Sections sections;
  sections.teams = R"([{"name":"t","organisation":"o","limit":{"tasks":1}},
                       {"name":"u","organisation":"o","limit":{"tasks":1}}])";
  sections.keys = R"([{"name":"k","team":"t","sha256":")" + Sha256Hex("one") +
                  R"("},{"name":"l","team":"t","sha256":")" + Sha256Hex("two") +
                  "\"}]";
  const auto parsed = Parse(sections.Text());
  BOOST_TEST_REQUIRE(Reasons(parsed.errors) == "");
  const auto& configuration = parsed.configuration;
  BOOST_TEST((configuration.Authenticate(TeamId("t"), "one") == KeyId("k")));
  BOOST_TEST((configuration.Authenticate(TeamId("t"), "two") == KeyId("l")));
  BOOST_TEST(!configuration.Authenticate(TeamId("t"), "three"));
  BOOST_TEST(!configuration.Authenticate(TeamId("t"), Sha256Hex("one")));
  BOOST_TEST(!configuration.Authenticate(TeamId("u"), "one"));
  BOOST_TEST(!configuration.Authenticate(TeamId(), ""));
  // The published test vector of SHA-256 for "abc".
  BOOST_TEST(
      Sha256Hex("abc") ==
      "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

}  // namespace
}  // namespace shallotbank::configuration
