#pragma once

#include <memory>
#include <string>

#include "http/message.h"

namespace shallotbank::http {

class Connection;

/// One request and its answer. All members but `connection` are guarded by the
/// mutex of the connection.
class Exchange {
 public:
  std::shared_ptr<Connection> connection;
  bool is_head = false;
  bool is_http10 = false;
  bool is_last = false;     ///< The connection closes after the answer.
  bool is_counted = false;  ///< Counts as an open request.
  bool is_answered = false;
  std::string header;  ///< Without Connection and the empty line.
  std::string body;
};

}  // namespace shallotbank::http
