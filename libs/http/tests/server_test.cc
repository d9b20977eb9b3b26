#include "http/server.h"

#include <boost/test/unit_test.hpp>

#include "http/client.h"
#include "open_requests.h"

namespace shallotbank::http {
namespace {

auto Url(const Server& server, const std::string& path) -> std::string {
  return "http://127.0.0.1:" + std::to_string(server.Port()) + path;
}

// Guards against a header, query or body that is lost in transfer.
BOOST_AUTO_TEST_CASE(RequestAndResponseArriveComplete) {
  Server server({}, [](const Request& request, Responder responder) {
    const auto* team = request.FindHeader("shallotbank-team");
    responder.Send({201,
                    {{"X-Team", team == nullptr ? "" : *team}},
                    request.method + " " + request.path + " " +
                        request.QueryParameter("max") + " " + request.body});
  });
  BOOST_REQUIRE(server.Start());
  Client client;
  Call call;
  call.method = "POST";
  call.url = Url(server, "/a/b?x=1&max=7");
  call.headers = {{"Shallotbank-Team", "t"}};
  call.body = std::string(100'000, 'x');
  const auto reply = client.SendAndWait(call);
  BOOST_TEST(reply.verdict == Verdict::kRan);
  BOOST_TEST(reply.error == "");
  BOOST_TEST(reply.status == 201);
  BOOST_TEST(*FindHeader(reply.headers, "x-team") == "t");
  BOOST_TEST(reply.body == "POST /a/b 7 " + std::string(100'000, 'x'));
}

// Guards against a dropped responder that leaves its client waiting.
BOOST_AUTO_TEST_CASE(DroppedResponderSends500) {
  Server server({}, [](const Request&, const Responder&) {});
  BOOST_REQUIRE(server.Start());
  Client client;
  Call call;
  call.url = Url(server, "/");
  BOOST_TEST(client.SendAndWait(call).status == 500);
  BOOST_TEST(WaitUntilCompleted(server));
}

// Guards against a server that silently ends the process when its address is
// in use.
BOOST_AUTO_TEST_CASE(ListenErrorIsReported) {
  Server first({}, [](const Request&, const Responder&) {});
  BOOST_REQUIRE(first.Start());
  ServerOptions options;
  options.port = first.Port();
  Server second(options, [](const Request&, const Responder&) {});
  BOOST_TEST(!second.Start());
  options.address = "localhost";
  Server third(options, [](const Request&, const Responder&) {});
  BOOST_TEST(!third.Start());
}

}  // namespace
}  // namespace shallotbank::http
