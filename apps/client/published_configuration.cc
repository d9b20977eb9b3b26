#include "published_configuration.h"

#include <sstream>

#include "configuration/configuration_json.h"

namespace shallotbank::client {
namespace {

namespace leaf = boost::leaf;
using nlohmann::json;

constexpr const char* kConfigurationPath = "/v1/configuration";

auto ParseVersion(const json& response) -> leaf::result<Offset> {
  if (!response.contains("version") ||
      !response["version"].is_number_integer()) {
    return Fail(ExitStatus::kFailed, "the answer has no version");
  }
  return response["version"].get<Offset>();
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
  BOOST_LEAF_AUTO(response,
                  session.entry.SendForJson(
                      {.path = kConfigurationPath, .headers = headers}));
  PublishedConfiguration published;
  BOOST_LEAF_ASSIGN(published.version, ParseVersion(response));
  const auto text = response.value("configuration", json::object()).dump();
  return leaf::try_handle_some(
      [&]() -> leaf::result<PublishedConfiguration> {
        // Version 0 means that nothing was published yet: there is no format
        // field, which the parser requires.
        if (published.version != 0) {
          BOOST_LEAF_ASSIGN(published.content,
                            configuration::ParseConfiguration(text));
        }
        return std::move(published);
      },
      [](const configuration::ConfigurationErrors& errors)
          -> leaf::result<PublishedConfiguration> {
        return Fail(ExitStatus::kFailed,
                    "this client cannot parse the configuration in force:" +
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
  BOOST_LEAF_AUTO(response,
                  session.entry.SendForJson(
                      {.method = "PATCH",
                       .path = kConfigurationPath,
                       .headers = headers,
                       .body = configuration::ToJson(request),
                       .retry_hint = "repeat the command: it sends only "
                                     "changes that are not in force "
                                     "yet"}));
  return ParseVersion(response);
}

}  // namespace shallotbank::client
