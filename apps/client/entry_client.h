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
  /// How to repeat the request safely; shown if it may have run.
  std::string repeat;
};

/// An answer that is not a refusal.
struct EntryAnswer {
  int status = 0;
  std::vector<http::Header> headers;
  std::string body;
  std::string entry;  ///< The URL of the host that answered.

  auto IsSuccess() const -> bool {
    return this->status >= 200 && this->status < 300;
  }
};

/// Talks to the entry hosts of one cell. A request goes to the first host; the
/// next one is tried only if the request did not run and another host may do
/// better. A GET has no effect, so that it always counts as not run.
class EntryClient {
 public:
  EntryClient(std::vector<std::string> entries, Duration timeout);

  /// Errors: `Failure`, for a refusal or without an answer.
  auto Send(const EntryRequest& request) -> boost::leaf::result<EntryAnswer>;
  /// Like `Send`, for interfaces whose answers are JSON objects.
  auto SendForJson(const EntryRequest& request)
      -> boost::leaf::result<nlohmann::json>;

 private:
  std::vector<std::string> entries;
  Duration timeout;
  http::Client client;
};

}  // namespace shallotbank::client
