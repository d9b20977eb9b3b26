#include "secrets.h"

#include <algorithm>
#include <fstream>

namespace shallotbank::client {
namespace {

namespace leaf = boost::leaf;

// A shorter secret could be found by brute force from its hash, which is stored
// in the log and readable by operators.
constexpr std::size_t kMinNewKeyLength = 16;
constexpr std::size_t kMaxKeyLength = 4096;

// A secret is sent in a request header and must be valid there.
auto CheckSecret(const std::string& secret, const std::string& source)
    -> leaf::result<void> {
  const bool is_printable = std::all_of(
      secret.begin(), secret.end(), [](char c) { return c > ' ' && c <= '~'; });
  if (!is_printable || secret.size() > kMaxKeyLength) {
    return Fail(ExitStatus::kUsage,
                source +
                    ": a key is printable ASCII without spaces, of at "
                    "most 4096 characters");
  }
  return {};
}

auto FirstLine(std::istream& in) -> std::string {
  std::string line;
  std::getline(in, line);
  if (!line.empty() && line.back() == '\r') {
    line.pop_back();
  }
  return line;
}

auto ReadSecret(const Options& options,
                std::string_view flag,
                std::string_view variable) -> leaf::result<std::string> {
  std::string secret = options.Secret(variable);
  std::string source(variable);
  if (secret.empty() && options.Has(flag)) {
    source = options.String(flag);
    std::ifstream file(source);
    if (!file) {
      return Fail(ExitStatus::kUsage,
                  "--" + std::string(flag) + ": cannot read " + source);
    }
    secret = FirstLine(file);
  }
  BOOST_LEAF_CHECK(CheckSecret(secret, source));
  return secret;
}

}  // namespace

auto TeamKey(const Options& options) -> leaf::result<std::string> {
  return ReadSecret(options, "key-file", kTeamKeyVariable);
}

auto OperatorKey(const Options& options) -> leaf::result<std::string> {
  BOOST_LEAF_AUTO(
      secret, ReadSecret(options, "operator-key-file", kOperatorKeyVariable));
  if (secret.empty()) {
    return Fail(ExitStatus::kUsage, "this command needs the operator key",
                "set SHALLOTBANK_OPERATOR_KEY or give --operator-key-file");
  }
  return secret;
}

auto NewKey(const Options& options, std::istream& in)
    -> leaf::result<std::string> {
  auto secret = options.Secret(kNewKeyVariable);
  if (secret.empty()) {
    secret = FirstLine(in);
  }
  BOOST_LEAF_CHECK(CheckSecret(secret, "the new key"));
  if (secret.size() < kMinNewKeyLength) {
    return Fail(ExitStatus::kUsage,
                "the new key has fewer than 16 characters; nothing was sent",
                "use a random secret, such as that of: openssl rand -hex 24");
  }
  return secret;
}

}  // namespace shallotbank::client
