#pragma once

#include <memory>
#include <string>

#include "http/message.h"

namespace shallotbank::http {

class Connection;

/// One request and its response. All members but `connection` are guarded by
/// the mutex of the connection.
class Exchange {
 public:
  std::shared_ptr<Connection> connection;
  bool is_head = false;
  bool is_http10 = false;
  bool closes_connection = false;  ///< The connection closes afterwards.
  bool is_counted = false;         ///< Counted in ServerState::open_requests.
  bool has_response = false;
  std::string header;  ///< Without Connection and the empty line.
  std::string body;
};

}  // namespace shallotbank::http
