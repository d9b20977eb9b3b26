#include "published_configuration.h"

#include <sstream>

#include "configuration/configuration_json.h"

namespace shallotbank::client {
namespace {

namespace leaf = boost::leaf;
using nlohmann::json;

constexpr const char* kPath = "/v1/configuration";

auto VersionIn(const json& answer) -> leaf::result<Offset> {
  if (!answer.contains("version") || !answer["version"].is_number_integer()) {
    return Fail(ExitStatus::kFailed, "the answer holds no version");
  }
  return answer["version"].get<Offset>();
}

}  // namespace

auto ToText(const configuration::ConfigurationErrors& errors) -> std::string {
  std::ostringstream out;
  for (const auto& error : errors.errors) {
    out << "\n  " << error;
  }
  return out.str();
}

auto FetchConfiguration(Session& session)
    -> leaf::result<PublishedConfiguration> {
  BOOST_LEAF_AUTO(headers, OperatorHeaders(session.options));
  BOOST_LEAF_AUTO(
      answer, session.entry.SendForJson({.path = kPath, .headers = headers}));
  PublishedConfiguration published;
  BOOST_LEAF_ASSIGN(published.version, VersionIn(answer));
  const auto text = answer.value("configuration", json::object()).dump();
  return leaf::try_handle_some(
      [&]() -> leaf::result<PublishedConfiguration> {
        // A configuration that was never published has no format.
        if (published.version != 0) {
          BOOST_LEAF_ASSIGN(published.content,
                            configuration::ParseConfiguration(text));
        }
        return std::move(published);
      },
      [](const configuration::ConfigurationErrors& errors)
          -> leaf::result<PublishedConfiguration> {
        return Fail(ExitStatus::kFailed,
                    "this client does not understand the configuration in "
                    "force:" +
                        ToText(errors),
                    "use the client of the release that the hosts run");
      });
}

auto PublishChanges(
    Session& session,
    Offset version,
    const std::vector<configuration::ConfigurationChange>& changes)
    -> leaf::result<Offset> {
  BOOST_LEAF_AUTO(headers, OperatorHeaders(session.options));
  headers.push_back({"Content-Type", "application/json"});
  configuration::ChangeRequest request;
  request.expected_version = version;
  request.changes = changes;
  BOOST_LEAF_AUTO(
      answer,
      session.entry.SendForJson(
          {.method = "PATCH",
           .path = kPath,
           .headers = headers,
           .body = configuration::ToJson(request),
           .repeat = "repeat the command: it sends only what is not in force "
                     "yet"}));
  return VersionIn(answer);
}

}  // namespace shallotbank::client
