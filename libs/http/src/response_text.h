#pragma once

#include <string>

#include "http/message.h"
#include "request_reader.h"

namespace shallotbank::http {

/// The status line and the headers of `response` with Content-Length, without
/// Connection and without the empty line at the end.
auto HeaderText(const Response& response) -> std::string;

/// Whether a response with `status` may have a body.
auto AllowsBody(int status) -> bool;

/// The response to a request that was refused before it reached the handler.
auto RefusalResponse(const ReadError& error) -> Response;

/// The response to a request that the handler took and did not answer.
auto DroppedResponse(int status) -> Response;

}  // namespace shallotbank::http
