#pragma once

#include <string>
#include <string_view>

#include <boost/leaf.hpp>

#include "journal/records.h"

namespace shallotbank::journal {

/// The bytes are not a valid batch, or the batch cannot be encoded.
struct CodecError {
  std::string field;  ///< Such as `records[0].job`; empty for the whole batch.
  std::string message;
};

/// Maximum size of an encoded batch in bytes, for reading and writing.
inline constexpr std::size_t kMaxBatchBytes = 1UL << 20U;

/// Encodes a batch as JSON. Errors: `CodecError` if a string is not UTF-8, an
/// item of a configuration change is not JSON, or the batch is too large.
auto EncodeBatch(const Batch& batch) -> boost::leaf::result<std::string>;

/// Decodes a batch and never throws. Unknown fields are ignored. An unknown or
/// malformed record becomes a `SkippedRecord`, and the other records of the
/// batch are kept. Errors: `CodecError` if the envelope cannot be read.
auto DecodeBatch(std::string_view bytes) -> boost::leaf::result<Batch>;

/// Encoded size of one record in bytes; the envelope of a batch adds about 80.
auto EncodedSize(const Record& record) -> std::size_t;

}  // namespace shallotbank::journal
