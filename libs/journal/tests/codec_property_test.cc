#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <nlohmann/json.hpp>

#include "history.h"

namespace shallotbank::journal {
namespace {

struct FixedSeed {
  FixedSeed() {
    setenv("RC_PARAMS", "seed=20261204 max_success=1000 noshrink=1", 1);
  }
};
BOOST_TEST_GLOBAL_FIXTURE(FixedSeed);

// Guards against crashes on corrupted bytes, and against batches that do not
// decode to what was encoded.
BOOST_AUTO_TEST_CASE(MutatedBatches) {
  BOOST_TEST(
      rc::check("no corrupted bytes crash the decoder or the replica", [] {
        auto choices = DrawChoices(100);
        auto log = RandomLog(choices, 3, std::chrono::seconds(1));
        Batch batch;
        RC_ASSERT(DecodeError(log[0], &batch).empty());
        RC_ASSERT(EncodeOrEmpty(batch.writer.Text(), batch.sequence,
                                batch.records, batch.written_at) == log[0]);
        Replica replica;
        for (auto& bytes : log) {
          for (auto count = choices.Next(4); count > 0; --count) {
            const auto place = choices.Next(bytes.size());
            const auto value = static_cast<char>(choices.Next(256));
            switch (choices.Next(4)) {
              case 0:
                bytes[place] = value;
                break;
              case 1:
                bytes.insert(place, choices.Next(60), value);
                break;
              case 2:
                bytes.erase(place, 1 + choices.Next(5));
                break;
              default:
                bytes += bytes.substr(place);
            }
            bytes += bytes.empty() ? "{" : "";
          }
          replica.Apply(replica.Next(), bytes);
        }
        const auto random = *rc::gen::arbitrary<std::string>();
        RC_ASSERT(!DecodeError(random).empty());
        RC_ASSERT(replica.Next() == log.size());
      }));
}

// Guards against a malformed field that is misread or reported without its
// name. The other records of the batch must be kept.
BOOST_AUTO_TEST_CASE(WrongFields) {
  BOOST_TEST(rc::check("the error names the field", [] {
    auto choices = DrawChoices(60);
    GeneratedValues generated;
    const auto record = RandomRecord(choices, "a", generated);
    auto value = nlohmann::json::parse(
        EncodeOrEmpty("a", 1, {record, CancelRequested{JobId("j")}}));
    auto& fields = value["records"][0];
    fields["from_a_newer_release"] = 1;
    Batch batch;
    RC_ASSERT(DecodeError(value.dump(), &batch).empty());
    RC_ASSERT(!std::holds_alternative<SkippedRecord>(batch.records[0]));
    fields.erase("from_a_newer_release");
    auto field = fields.begin();
    std::advance(field,
                 static_cast<std::ptrdiff_t>(choices.Next(fields.size())));
    const auto name = field.key();
    // No field holds a nested list.
    *field = nlohmann::json::array({nlohmann::json::array()});
    RC_ASSERT(DecodeError(value.dump(), &batch).empty());
    const auto* skipped = std::get_if<SkippedRecord>(&batch.records[0]);
    RC_ASSERT(skipped != nullptr);
    RC_ASSERT(skipped->field.starts_with("records[0]." + name));
    RC_ASSERT(std::holds_alternative<CancelRequested>(batch.records[1]));
  }));
}

// Guards against accepting an envelope with missing fields, and against a
// record of a newer release that makes the batch unreadable.
BOOST_AUTO_TEST_CASE(Envelope) {
  BOOST_TEST(DecodeError("{}") == "writer: is missing");
  BOOST_TEST(
      DecodeError(R"({"writer":"a","sequence":0,"at":1,"records":[]})") ==
      "sequence: must be at least 1");
  BOOST_TEST(DecodeError(R"({"writer":"a","sequence":1,"at":1,"records":7})") ==
             "records: must be a list");
  BOOST_TEST(DecodeError(std::string(1'000'000, '[')) == ": nested too deep");
  BOOST_TEST(DecodeError(std::string(kMaxBatchBytes + 1, ' ')) ==
             ": the batch is too large");
  Batch batch;
  BOOST_TEST(DecodeError(R"({"writer":"a","sequence":1,"at":1,"new":[],
      "records":[{"type":"from_a_newer_release"}]})",
                         &batch) == "");
  BOOST_TEST(std::get<SkippedRecord>(batch.records.at(0)).is_unknown_type);
  BOOST_TEST(EncodeOrEmpty("a", 1, {JobAccepted{}}).empty());
  BOOST_TEST(EncodeOrEmpty("a", 1, {CancelRequested{JobId("\xff")}}).empty());
}

}  // namespace
}  // namespace shallotbank::journal
