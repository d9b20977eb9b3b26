#include "base/process.h"
#include "daemon/daemon_parts.h"
#include "entry_daemon.h"

namespace {

namespace leaf = boost::leaf;
using namespace shallotbank;

constexpr std::size_t kSha256HexDigits = 64;
constexpr std::int64_t kDefaultMaxRequestBytes = 1 << 20;
constexpr std::int64_t kMaxRequestBytesLimit = 64 << 20;

auto RunDaemon(const Settings& settings) -> int {
  return daemon::RunWithSettings(
      settings,
      [&settings](daemon::CommonSettings common) -> leaf::result<int> {
        const auto& hash = settings.Text("operator-key-sha256");
        const bool is_hex =
            hash.find_first_not_of("0123456789abcdef") == std::string::npos;
        if (hash.size() != kSha256HexDigits || !is_hex) {
          return leaf::new_error(SettingsError{
              "--operator-key-sha256",
              "must be a SHA-256 hash of 64 lower-case hex digits"});
        }
        entry::EntryDaemon entry(std::move(common), hash,
                                 settings.Integer("max-request-bytes"));
        return entry.Run();
      });
}

}  // namespace

auto main(int argc, char** argv) -> int {
  SettingsBuilder builder(
      "shallotbank-entry",
      "Serves the HTTP interface for callers and operators.");
  daemon::AddCommonSettings(builder)
      .RequiredText("operator-key-sha256",
                    "SHA-256 of the key that operators present")
      .Integer("max-request-bytes", kDefaultMaxRequestBytes, 1024,
               kMaxRequestBytesLimit,
               "maximum size of a request body in bytes");
  return RunProcess("shallotbank-entry", builder, argc, argv, RunDaemon);
}
