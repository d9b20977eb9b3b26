#include <ostream>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "cell/records.h"

namespace shallotbank::cell {
namespace {

const std::vector<ProgressUpdate> kUpdates{{"a", "1", 7}, {"b", "2", 8}};

struct MessageCase {
  const char* name;
  std::vector<std::string> endpoints;
  bool is_read_by_earlier_release;
};

auto operator<<(std::ostream& out, const MessageCase& c) -> std::ostream& {
  return out << c.name;
}

const std::vector<MessageCase> kMessages{
    {"no endpoints", {}, true},
    {"one endpoint", {"10.0.0.2:1"}, false},
    {"several endpoints", {"10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1"}, false},
};

// Guards against hosts of two releases that misunderstand each other.
BOOST_DATA_TEST_CASE(MessagesAreReadByBothReleases, kMessages, c) {
  const auto batch = MakeUpdateBatch(kUpdates);
  const auto bytes = EncodeProgressMessage({batch, c.endpoints});
  BOOST_TEST(DecodeProgressUpdates(bytes).has_value() ==
             c.is_read_by_earlier_release);
  const auto message = DecodeProgressMessage(bytes);
  BOOST_REQUIRE(message.has_value());
  BOOST_TEST(message->endpoints == c.endpoints);
  BOOST_TEST(message->batch->bytes == EncodeProgressUpdates(kUpdates));
  BOOST_REQUIRE(message->batch->updates.size() == 2U);
  BOOST_TEST(message->batch->updates[1].job == "b");
  BOOST_TEST(message->batch->updates[1].progress == "2");
  BOOST_TEST(message->batch->updates[1].offset == 8U);
}

struct MergeCase {
  const char* name;
  std::vector<std::vector<ProgressUpdate>> batches;
  std::vector<Offset> expected;  ///< Of the jobs in the order of their names.
};

auto operator<<(std::ostream& out, const MergeCase& c) -> std::ostream& {
  return out << c.name;
}

const std::vector<MergeCase> kMerges{
    {"none", {}, {}},
    {"one batch", {{{"a", "", 1}, {"b", "", 2}}}, {1, 2}},
    {"different jobs", {{{"b", "", 1}}, {{"a", "", 2}}}, {2, 1}},
    {"a newer one of the same job", {{{"a", "", 1}}, {{"a", "", 2}}}, {2}},
    {"an older one that is sent again", {{{"a", "", 2}}, {{"a", "", 1}}}, {2}},
};

// Guards against an older update that replaces a newer one.
BOOST_DATA_TEST_CASE(MergedBatchesKeepTheNewestUpdate, kMerges, c) {
  std::vector<SharedUpdateBatch> batches;
  for (const auto& updates : c.batches) {
    batches.push_back(MakeUpdateBatch(updates));
  }
  std::vector<Offset> offsets;
  const auto merged = MergeUpdateBatches(batches);
  for (const auto& update : merged->updates) {
    offsets.push_back(update.offset);
  }
  BOOST_TEST(offsets == c.expected);
}

}  // namespace
}  // namespace shallotbank::cell
