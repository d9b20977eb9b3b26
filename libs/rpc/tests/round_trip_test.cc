#include "peer_fixture.h"

#include <boost/test/unit_test.hpp>

namespace shallotbank::rpc {
namespace {

auto StateWithEveryField() -> PeerState {
  return {.process = ProcessId("caxias-1/entry/7"),
          .incarnation = 18'000'000'000'000'000'000U,
          .host = "caxias-1",
          .role = Role::kSched,
          .http_address = "10.0.0.1:80",
          .rpc_address = "[::1]:90",
          .failure_domain = FailureDomain("gramado"),
          .log_head = 77,
          .log_age = 1500ms,
          .owned = {{ResourceId("shard-0"), 12}, {ResourceId(""), 13}},
          .heard = {{ProcessId("lages-1"), 250ms}},
          .draining = true,
          .free_slots = {{ServiceName("oficina"), 400}}};
}

struct Fixture {
  TestPeer peer;
  PeerClient client;

  template <typename Request>
  auto CallPeer(Request request) -> typename Request::Response {
    auto result = CallAndWait(this->client, this->peer.Address(), request);
    BOOST_TEST_CONTEXT(result.reason << " " << result.message) {
      BOOST_TEST(result.verdict == Verdict::kRan);
      BOOST_REQUIRE(result.response);
    }
    return *result.response;
  }
};

// Guards against a field that is lost or swapped with another one.
BOOST_FIXTURE_TEST_CASE(HeartbeatCarriesEveryField, Fixture) {
  BOOST_TEST((this->CallPeer(HeartbeatRequest{StateWithEveryField()}).callee ==
              StateWithEveryField()));
  BOOST_TEST((this->CallPeer(HeartbeatRequest{}).callee == PeerState{}));
}

// Guards against a lost field of any other message.
BOOST_FIXTURE_TEST_CASE(EveryOtherMessageCarriesEveryField, Fixture) {
  BOOST_TEST(this->CallPeer(WitnessRequest{ResourceId("r"), 41}).highest_seen ==
             42U);

  const auto records = this->CallPeer(ReadRecordsRequest{.from = 9, .max = 5});
  BOOST_REQUIRE(records.records.size() == 2U);
  BOOST_TEST(records.records[0].data == std::string("\0\xff binary", 9));
  BOOST_TEST(records.records[1].offset == 10U);
  BOOST_TEST(records.first == 3U);
  BOOST_TEST(records.next == 14U);

  const auto status =
      this->CallPeer(JobStatusRequest{.jobs = {JobId("a"), JobId("b")}});
  BOOST_TEST((status.jobs == std::vector<JobStatus>{{JobId("a"), false, "{}"},
                                                    {JobId("b"), true, "{}"}}));

  const auto jobs = this->CallPeer(
      ListJobsRequest{.team = TeamId("t"), .cursor = "c", .max = 8});
  BOOST_TEST((jobs.jobs == std::vector<JobStatus>{{JobId("t8"), true, "[]"}}));
  BOOST_TEST(jobs.next_cursor == "c+");

  BOOST_TEST(this->CallPeer(ExplainRequest{"job", "7"}).json == "job7");
}

// Guards against a forwarded request or response that is altered in transit.
BOOST_FIXTURE_TEST_CASE(ForwardedRequestIsCarriedWhole, Fixture) {
  const std::string body("\0body\xff", 6);
  const auto answer =
      this->CallPeer(ForwardRequest{.service = ServiceName("s"),
                                    .team = TeamId("t"),
                                    .profile = ProfileName("p"),
                                    .request_id = RequestId("i"),
                                    .deadline_left = 1h,
                                    .idempotent = true,
                                    .body = body,
                                    .headers = {{"Name", "value"}}});
  BOOST_TEST(answer.verdict == Verdict::kRan);
  BOOST_TEST(answer.status == 200);
  BOOST_TEST(answer.body == "stpi" + body);
  BOOST_TEST(answer.reason == "none");
  BOOST_REQUIRE(answer.headers.size() == 2U);
  BOOST_TEST((answer.headers[0] == Header{"Name", "value"}));
  // The client subtracts the time that the request waited for the connection
  // from `deadline_left`.
  const auto left = std::stoll(answer.headers[1].value);
  BOOST_TEST(left <= 3'600'000);
  BOOST_TEST(left > 3'590'000);
}

// Guards against a call that hangs when the handler drops or fails the reply.
BOOST_FIXTURE_TEST_CASE(DroppedAndFailedRepliesReturnAnError, Fixture) {
  for (const std::string kind : {"drop", "fail"}) {
    const auto result = CallAndWait(this->client, this->peer.Address(),
                                    ExplainRequest{kind, "x"});
    BOOST_TEST(result.verdict == Verdict::kMayHaveRun);
    BOOST_TEST(result.reason == "peer_failed");
  }
}

// Guards against an address that makes the client resolve a host name, and
// against a refusal without a reason.
BOOST_FIXTURE_TEST_CASE(InvalidAddressIsRefused, Fixture) {
  for (const std::string address :
       {"localhost:80", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:70000",
        "127.0.0.1:8x", "::1:80", "[::1]", "", ":1"}) {
    BOOST_TEST_CONTEXT(address) {
      const auto result = CallAndWait(this->client, address, WitnessRequest{});
      BOOST_TEST(result.verdict == Verdict::kNotRun);
      BOOST_TEST(result.reason == "bad_address");
    }
  }
}

// Guards against a start that reports success without a listening port.
BOOST_FIXTURE_TEST_CASE(UnusableListenAddressIsAnError, Fixture) {
  TestHandler handler;
  for (const std::string address : {"localhost", "203.0.113.1", ""}) {
    PeerServer server({.address = address}, handler);
    BOOST_TEST(!server.Start());
  }
  PeerServer second({.port = this->peer.server->Port()}, handler);
  BOOST_TEST(!second.Start());
}

}  // namespace
}  // namespace shallotbank::rpc
