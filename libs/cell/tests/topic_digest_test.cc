#include <optional>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "cell/topic_digest.h"

namespace shallotbank::cell {
namespace {

constexpr Offset kStart = 100;

auto Record(Offset offset) -> DigestRecord {
  return {offset, "key-" + std::to_string(offset), "value"};
}

/// Covers records 100 to 109; those with even offsets are of interest.
auto SmallDigest() -> TopicDigest {
  TopicDigest digest;
  digest.Restart(kStart);
  for (auto offset = kStart; offset < kStart + 10; offset++) {
    digest.Append(
        offset, offset % 2 == 0 ? std::optional(Record(offset)) : std::nullopt);
  }
  return digest;
}

struct ReadCase {
  const char* name;
  Offset from;
  std::optional<Offset> next;
  std::vector<Offset> offsets;
};

BOOST_AUTO_TEST_CASE(digest_returns_the_records_from_an_offset_on) {
  const ReadCase cases[] = {
      {"before the first", 99, std::nullopt, {}},
      {"the first", 100, 110, {100, 102, 104, 106, 108}},
      {"between two", 103, 110, {104, 106, 108}},
      {"the last", 108, 110, {108}},
      {"of no interest", 109, 110, {}},
      {"the end", 110, 110, {}},
      // A host may have read further elsewhere.
      {"beyond the end", 115, 115, {}},
  };
  const auto digest = SmallDigest();
  for (const auto& test_case : cases) {
    BOOST_TEST_CONTEXT(test_case.name) {
      const auto page = digest.Read(test_case.from);
      BOOST_TEST(page.has_value() == test_case.next.has_value());
      if (page) {
        BOOST_TEST(page->next == *test_case.next);
        BOOST_TEST(page->end == 110U);
        std::vector<Offset> offsets;
        for (const auto& record : page->records) {
          offsets.push_back(record.offset);
        }
        BOOST_TEST(offsets == test_case.offsets);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(digest_that_was_cleared_covers_nothing) {
  auto digest = SmallDigest();
  digest.Clear();
  BOOST_TEST(!digest.Read(kStart + 10).has_value());
  digest.Append(kStart + 10, Record(kStart + 10));
  BOOST_TEST(!digest.Read(kStart + 10).has_value());
  digest.Restart(kStart + 20);
  BOOST_TEST(!digest.Read(kStart + 10).has_value());
  BOOST_TEST(digest.Read(kStart + 20).has_value());
}

// A reader that falls behind the oldest record must not skip any.
BOOST_AUTO_TEST_CASE(digest_of_bounded_size_admits_its_gaps) {
  constexpr Offset kRecords = 20'000;
  TopicDigest digest;
  digest.Restart(0);
  for (Offset offset = 0; offset < kRecords; offset++) {
    digest.Append(offset, Record(offset));
  }
  BOOST_TEST(!digest.Read(0).has_value());
  Offset oldest = 0;
  while (!digest.Read(oldest)) {
    oldest++;
  }
  BOOST_TEST(oldest > 0U);
  std::vector<Offset> read;
  for (auto next = oldest; next < kRecords;) {
    const auto page = digest.Read(next);
    BOOST_REQUIRE(page.has_value());
    BOOST_REQUIRE(page->next > next);
    BOOST_TEST(EncodeDigestPage(*page).size() < 100U << 10);
    for (const auto& record : page->records) {
      read.push_back(record.offset);
    }
    next = page->next;
  }
  BOOST_REQUIRE(read.size() == kRecords - oldest);
  for (std::size_t i = 0; i < read.size(); i++) {
    BOOST_REQUIRE(read[i] == oldest + i);
  }
}

BOOST_AUTO_TEST_CASE(page_survives_its_encoding) {
  DigestPage page;
  page.next = 12;
  page.end = 14;
  page.age = std::chrono::milliseconds(250);
  page.records = {{10, "a", std::string("\0\xff", 2)},
                  {11, "b", std::nullopt},
                  {11, "c", ""}};
  const auto read = DecodeDigestPage(EncodeDigestPage(page));
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(read->next == page.next);
  BOOST_TEST(read->end == page.end);
  BOOST_TEST((read->age == page.age));
  BOOST_TEST((read->records == page.records));
}

BOOST_AUTO_TEST_CASE(invalid_pages_are_rejected) {
  const DigestPage page{1, 2, std::chrono::milliseconds(-1), {}};
  const auto valid = EncodeDigestPage({1, 2, {}, {Record(1)}});
  const std::string cases[] = {"", "x", valid.substr(0, valid.size() - 1),
                               EncodeDigestPage(page)};
  for (const auto& bytes : cases) {
    BOOST_TEST(!DecodeDigestPage(bytes).has_value());
  }
}

}  // namespace
}  // namespace shallotbank::cell
