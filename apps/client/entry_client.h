#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "failure.h"
#include "http/client.h"

namespace shallotbank::client {

/// A request to an entry host.
struct EntryRequest {
  std::string method = "GET";
  std::string path;
  std::vector<http::Header> headers;
  std::string body;
  /// How to retry the request safely; shown to the user if it may have run.
  std::string retry_hint;
};

/// A response that is not a refusal by the entry host.
struct EntryResponse {
  int status = 0;
  std::vector<http::Header> headers;
  std::string body;
  std::string entry;  ///< The URL of the host that responded.

  auto IsSuccess() const -> bool {
    return this->status >= 200 && this->status < 300;
  }
};

/// Sends requests to the entry hosts of one cell. A request goes to the first
/// host; the next one is tried only if the request did not run and another host
/// may accept it. A GET has no side effects and therefore always counts as not
/// run.
class EntryClient {
 public:
  EntryClient(std::vector<std::string> entries, Duration timeout);

  /// Errors: `Failure`, if the request is refused or no response arrives.
  auto Send(const EntryRequest& request) -> boost::leaf::result<EntryResponse>;
  /// Like `Send`, for endpoints whose responses are JSON objects.
  auto SendForJson(const EntryRequest& request)
      -> boost::leaf::result<nlohmann::json>;

 private:
  std::vector<std::string> entries;
  Duration timeout;
  http::Client client;
};

}  // namespace shallotbank::client
