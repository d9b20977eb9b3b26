#include "request_reader.h"

#include <optional>
#include <utility>

#include <boost/algorithm/string/predicate.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace shallotbank::http {
namespace {

namespace beast_http = boost::beast::http;
using beast_http::error;
using Parser = beast_http::request_parser<beast_http::string_body>;

auto ToReadError(const boost::beast::error_code& code) -> ReadError {
  const std::string message = code.message();
  if (code == error::header_limit) {
    return {431, "header_too_large", "header", message};
  }
  if (code == error::body_limit) {
    return {413, "request_too_large", "body", message};
  }
  if (code == error::bad_version) {
    return {505, "bad_version", "version", message};
  }
  if (code == error::bad_method) {
    return {400, "malformed_request", "method", message};
  }
  if (code == error::bad_target) {
    return {400, "malformed_request", "target", message};
  }
  if (code == error::bad_content_length ||
      code == error::multiple_content_length) {
    return {400, "malformed_request", "Content-Length", message};
  }
  if (code == error::bad_transfer_encoding) {
    return {400, "malformed_request", "Transfer-Encoding", message};
  }
  if (code == error::bad_chunk || code == error::bad_chunk_extension) {
    return {400, "malformed_request", "body", message};
  }
  return {400, "malformed_request", "header", message};
}

/// The origin form of `target`: an absolute form loses scheme and authority.
auto OriginForm(std::string_view target) -> std::string_view {
  constexpr std::string_view kScheme = "http://";
  if (!boost::algorithm::istarts_with(target, kScheme)) {
    return target;
  }
  const auto path = target.find('/', kScheme.size());
  return path == std::string_view::npos ? "/" : target.substr(path);
}

auto View(boost::beast::string_view text) -> std::string_view {
  return {text.data(), text.size()};
}

}  // namespace

struct RequestReader::State {
  Parser parser;
};

RequestReader::RequestReader(std::size_t max_header_bytes,
                             std::size_t max_body_bytes)
    : max_header_bytes(max_header_bytes), max_body_bytes(max_body_bytes) {
  this->Reset();
}

RequestReader::~RequestReader() = default;

auto RequestReader::Reset() -> void {
  this->state = std::make_unique<State>();
  this->state->parser.eager(true);
  this->state->parser.header_limit(
      static_cast<std::uint32_t>(this->max_header_bytes));
  this->state->parser.body_limit(this->max_body_bytes);
}

auto RequestReader::Append(std::string_view bytes) -> void {
  this->buffer.append(bytes);
}

auto RequestReader::CurrentPhase() const -> Phase {
  if (this->state->parser.is_header_done()) {
    return Phase::kBody;
  }
  return this->buffer.empty() ? Phase::kIdle : Phase::kHeader;
}

auto RequestReader::TakeContinue() -> bool {
  return std::exchange(this->continue_wanted, false);
}

auto RequestReader::Next() -> Result {
  auto& parser = this->state->parser;
  if (!parser.is_header_done()) {
    // RFC 9112, 2.2: empty lines before a request line are ignored.
    const auto start = this->buffer.find_first_not_of("\r\n");
    this->buffer.erase(0, start);
  }
  while (!this->buffer.empty()) {
    const bool had_header = parser.is_header_done();
    boost::beast::error_code code;
    const auto used = parser.put(boost::asio::buffer(this->buffer), code);
    this->buffer.erase(0, used);
    if (code && code != error::need_more) {
      return ToReadError(code);
    }
    if (parser.is_done()) {
      return this->Finish();
    }
    if (!had_header && parser.is_header_done()) {
      this->continue_wanted = boost::algorithm::iequals(
          View(parser.get()[beast_http::field::expect]), "100-continue");
    }
    if (code == error::need_more || used == 0) {
      break;
    }
  }
  return NeedMore{};
}

auto RequestReader::Finish() -> Result {
  auto message = this->state->parser.release();
  this->Reset();
  this->continue_wanted = false;
  ReadRequest result;
  result.keep_alive = message.keep_alive();
  result.is_http10 = message.version() < 11;
  if (!result.is_http10 &&
      message.find(beast_http::field::host) == message.end()) {
    return ReadError{400, "malformed_request", "Host",
                     "an HTTP/1.1 request needs the header Host"};
  }
  const auto target = OriginForm(View(message.target()));
  if (!target.starts_with('/') && target != "*") {
    return ReadError{400, "malformed_request", "target",
                     "the request target must be a path"};
  }
  const auto question = target.find('?');
  auto& request = result.request;
  request.method = View(message.method_string());
  request.path = target.substr(0, question);
  if (question != std::string_view::npos) {
    request.query = target.substr(question + 1);
  }
  for (const auto& field : message) {
    request.headers.push_back({std::string(View(field.name_string())),
                               std::string(View(field.value()))});
  }
  request.body = std::move(message.body());
  return result;
}

}  // namespace shallotbank::http
