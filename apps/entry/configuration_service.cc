#include "configuration_service.h"

#include "base/log.h"
#include "configuration/configuration_change.h"
#include "configuration/configuration_json.h"

namespace shallotbank::entry {
namespace {

namespace leaf = boost::leaf;
using nlohmann::json;

constexpr int kConflict = 409;
constexpr int kUnprocessable = 422;
constexpr std::chrono::seconds kPublishTimeout{5};

auto ErrorsToJson(const configuration::ConfigurationErrors& errors) -> json {
  auto list = json::array();
  for (const auto& error : errors.errors) {
    json entry{{"field", error.path},
               {"reason", error.reason},
               {"message", error.message}};
    if (error.line) {
      entry["line"] = *error.line;
    }
    list.push_back(std::move(entry));
  }
  return list;
}

}  // namespace

auto ConfigurationService::Show(ApiCall call) -> void {
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_CHECK(this->authorization.CheckOperator(call));
        BOOST_LEAF_CHECK(this->authorization.CheckViewFreshness());
        const auto& table = this->context.log.State()->Configuration();
        Reply(this->context, call, 200,
              {{"version", table.Version()},
               {"configuration",
                json::parse(configuration::ToJson(table.Get()))}});
        return {};
      },
      [&](const ApiError& error) {
        Refuse(this->context, call, error.status, error.refusal);
      },
      [&] { Refuse(this->context, call, 500, {.reason = "internal_error"}); });
}

auto ConfigurationService::Publish(ApiCall call) -> void {
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_CHECK(this->authorization.CheckOperator(call));
        BOOST_LEAF_CHECK(this->authorization.CheckViewFreshness());
        BOOST_LEAF_AUTO(change,
                        configuration::ParseChangeRequest(call.request.body));
        const auto& table = this->context.log.State()->Configuration();
        if (change.expected_version != table.Version()) {
          this->RefuseConflict(call);
          return {};
        }
        BOOST_LEAF_CHECK(configuration::Apply(table.Get(), change.changes,
                                              change.unknown_fields));
        const auto dry_run = call.request.QueryParameter("dry_run");
        if (!dry_run.empty() && dry_run != "true" && dry_run != "false") {
          return leaf::new_error(
              ApiError{400, Refusal{Verdict::kNotRun, "invalid_parameter",
                                    "dry_run", "must be true or false"}});
        }
        const bool is_dry_run = dry_run == "true";
        if (is_dry_run) {
          Reply(this->context, call, 200,
                {{"version", table.Version()},
                 {"dry_run", true},
                 {"changes", change.changes.size()}});
          return {};
        }
        BOOST_LEAF_CHECK(this->authorization.CheckLogAvailable());
        this->Append(std::make_shared<ApiCall>(std::move(call)),
                     {change.expected_version, std::move(change.changes)});
        return {};
      },
      [&](const ApiError& error) {
        Refuse(this->context, call, error.status, error.refusal);
      },
      [&](const configuration::ConfigurationErrors& errors) {
        this->context.metrics.Add("refusals_total", "invalid_configuration");
        Reply(this->context, call, kUnprocessable,
              {{"error",
                {{"reason", "invalid_configuration"},
                 {"field", errors.errors.front().path},
                 {"message", errors.errors.front().message},
                 {"execution", ToText(Verdict::kNotRun)},
                 {"errors", ErrorsToJson(errors)}}}});
      },
      [&] { Refuse(this->context, call, 500, {.reason = "internal_error"}); });
}

auto ConfigurationService::Append(const std::shared_ptr<ApiCall>& call,
                                  journal::ConfigurationChanged record)
    -> void {
  this->context.log.Append(
      {std::move(record)}, call->received_at + kPublishTimeout,
      [this, call](const daemon::RecordedResult& result) {
        if (result.verdict != Verdict::kRan) {
          Refuse(this->context, *call, StatusOf(result.verdict),
                 LogRefusal(result));
          return;
        }
        if (!result.outcomes.empty() && !result.outcomes[0].valid) {
          LogEvent(Event::kConfigurationConflict,
                   {{"request", call->request_id}});
          this->RefuseConflict(*call);
          return;
        }
        LogEvent(Event::kConfigurationAccepted,
                 {{"request", call->request_id},
                  {"version", std::to_string(result.offset)}});
        Reply(this->context, *call, 200, {{"version", result.offset}});
      });
}

auto ConfigurationService::RefuseConflict(ApiCall& call) -> void {
  const auto version = this->context.log.State()->Configuration().Version();
  Refuse(this->context, call, kConflict,
         {Verdict::kNotRun, "version_conflict", "expected_version",
          "another change was published first; the version in force is " +
              std::to_string(version)});
}

}  // namespace shallotbank::entry
