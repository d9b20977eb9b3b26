#pragma once

#include <array>
#include <string_view>
#include <utility>

#include <nlohmann/json.hpp>

#include "field_reader.h"
#include "journal/records.h"

namespace shallotbank::journal {

template <typename Value, std::size_t n>
using WordTable = std::array<std::pair<Value, std::string_view>, n>;

inline constexpr WordTable<WorkOutcome, 3> kOutcomes{
    {{WorkOutcome::kSucceeded, "succeeded"},
     {WorkOutcome::kFailed, "failed"},
     {WorkOutcome::kCancelled, "cancelled"}}};

/// Fields that records and snapshot items have in common.
auto WriteJobSpec(const JobSpec& spec, nlohmann::json& value) -> void;
auto ReadJobSpec(FieldReader& reader) -> JobSpec;
auto WriteChange(const configuration::ConfigurationChange& change)
    -> nlohmann::json;
auto ReadChange(const nlohmann::json& value,
                const std::string& path,
                FirstError& error) -> configuration::ConfigurationChange;
/// Leaves out the body if it is larger than the log keeps.
auto WriteAnswer(int status,
                 const std::string& content_type,
                 const std::optional<std::string>& body,
                 const std::string& body_digest,
                 nlohmann::json& value) -> void;
auto WriteTexts(const std::vector<std::string>& texts) -> nlohmann::json;
auto ReadTexts(FieldReader& reader, const char* field)
    -> std::vector<std::string>;

}  // namespace shallotbank::journal
