#pragma once

#include <string>

#include "object_reader.h"

namespace shallotbank::configuration {

/// Reads the field "format" (`MAJOR.MINOR`). Another major version is reported
/// as `unsupported_format`; a newer minor version may contain unknown fields.
auto ReadFormat(const nlohmann::json& document, ErrorList& errors)
    -> UnknownFields;

}  // namespace shallotbank::configuration
