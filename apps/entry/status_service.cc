#include "status_service.h"

#include "journal/claim_table.h"

namespace shallotbank::entry {
namespace {

namespace leaf = boost::leaf;
using nlohmann::json;

constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
constexpr std::chrono::milliseconds kOwnerTimeout{1000};

auto Milliseconds(Duration time) -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

auto ToJson(const rpc::PeerState& state) -> json {
  auto owned = json::array();
  for (const auto& entry : state.owned) {
    owned.push_back(
        {{"resource", entry.resource.Text()}, {"epoch", entry.epoch}});
  }
  return {{"process", state.process.Text()},
          {"host", state.host},
          {"role", state.role == rpc::Role::kEntry ? "entry" : "sched"},
          {"domain", state.failure_domain.Text()},
          {"http", state.http_address},
          {"rpc", state.rpc_address},
          {"log_head", state.log_head},
          {"log_age_ms", Milliseconds(state.log_age)},
          {"draining", state.draining},
          {"owned", std::move(owned)}};
}

}  // namespace

auto StatusService::ShowHosts(ApiCall call, const rpc::PeerState& self)
    -> void {
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_CHECK(this->authorization.CheckOperator(call));
        const auto now = SystemClock().Now();
        auto list = json::array();
        auto self_entry = ToJson(self);
        self_entry["silence_ms"] = 0;
        self_entry["suspected"] = false;
        list.push_back(std::move(self_entry));
        for (const auto& [process, peer] : this->context.peers.Peers()) {
          auto entry = ToJson(peer.state);
          entry["silence_ms"] = Milliseconds(now - peer.last_heard);
          entry["suspected"] = peer.is_suspected;
          list.push_back(std::move(entry));
        }
        Reply(this->context, call, 200, {{"hosts", std::move(list)}});
        return {};
      },
      [&](const ApiError& error) {
        Refuse(this->context, call, error.status, error.refusal);
      },
      [&] { Refuse(this->context, call, 500, {.reason = "internal_error"}); });
}

auto StatusService::Explain(ApiCall call, const std::string& kind) -> void {
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_CHECK(this->authorization.CheckOperator(call));
        BOOST_LEAF_CHECK(this->authorization.CheckViewFreshness());
        auto shard = call.request.QueryParameter("shard");
        if (shard.empty()) {
          shard = configuration::ShardAt(0).Text();
        }
        const auto* owner = this->context.log.State()->Claims().Find(
            journal::ResourceOf(ShardId(shard)));
        if (owner == nullptr || owner->addresses.empty()) {
          Refuse(this->context, call, kNotFound,
                 {Verdict::kNotRun, "no_owner", "shard",
                  "nobody owns shard '" + shard + "' now"});
          return {};
        }
        auto shared = std::make_shared<ApiCall>(std::move(call));
        this->context.peers.Call<rpc::ExplainRequest>(
            owner->addresses.front(), {kind, shard}, kOwnerTimeout,
            [this, shared](rpc::CallResult<rpc::ExplainResponse> result) {
              if (!result.response) {
                Refuse(this->context, *shared, kUnavailable,
                       {Verdict::kNotRun, "owner_unreachable", "shard",
                        "the owner of the shard does not answer"});
                return;
              }
              Reply(this->context, *shared, 200,
                    json::parse(result.response->json, nullptr, false));
            });
        return {};
      },
      [&](const ApiError& error) {
        Refuse(this->context, call, error.status, error.refusal);
      },
      [&] { Refuse(this->context, call, 500, {.reason = "internal_error"}); });
}

}  // namespace shallotbank::entry
