#pragma once

#include <array>
#include <string_view>
#include <utility>

#include <nlohmann/json.hpp>

#include "field_reader.h"
#include "journal/records.h"

namespace shallotbank::journal {

template <typename Value, std::size_t n>
using EnumNames = std::array<std::pair<Value, std::string_view>, n>;

inline constexpr EnumNames<WorkOutcome, 3> kOutcomeNames{
    {{WorkOutcome::kSucceeded, "succeeded"},
     {WorkOutcome::kFailed, "failed"},
     {WorkOutcome::kCancelled, "cancelled"}}};

/// Fields that are common to records and snapshot items.
auto WriteJobSpec(const JobSpec& spec, nlohmann::json& value) -> void;
auto ReadJobSpec(FieldReader& reader) -> JobSpec;
auto WriteChange(const configuration::ConfigurationChange& change)
    -> nlohmann::json;
auto ReadChange(const nlohmann::json& value,
                const std::string& path,
                FirstError& error) -> configuration::ConfigurationChange;
/// Omits the body if it is larger than `kMaxAnswerBytes`.
auto WriteAnswer(int status,
                 const std::string& content_type,
                 const std::optional<std::string>& body,
                 const std::string& body_digest,
                 nlohmann::json& value) -> void;
auto WriteStrings(const std::vector<std::string>& strings) -> nlohmann::json;
auto ReadStrings(FieldReader& reader, const char* field)
    -> std::vector<std::string>;

}  // namespace shallotbank::journal
