#pragma once

#include <string>
#include <string_view>

#include <boost/leaf.hpp>

#include "journal/records.h"

namespace shallotbank::journal {

/// Bytes that are not a batch, or a batch that cannot be written.
struct CodecError {
  std::string field;  ///< Such as `records[0].job`; empty for the whole.
  std::string message;
};

/// Largest batch that is written or read, in bytes.
inline constexpr std::size_t kMaxBatchBytes = 1UL << 20U;

/// The JSON text of a batch. Errors: `CodecError` if a text is not UTF-8, an
/// item of a configuration change is not JSON, or the batch is too large.
auto EncodeBatch(const Batch& batch) -> boost::leaf::result<std::string>;

/// Never throws. Unknown fields are ignored; a record that is unknown or
/// malformed becomes a `SkippedRecord`, and the others of its batch are kept.
/// Errors: `CodecError` if the envelope cannot be read.
auto DecodeBatch(std::string_view bytes) -> boost::leaf::result<Batch>;

/// Bytes of one record in a batch; a batch adds about 80 for its envelope.
auto EncodedSize(const Record& record) -> std::size_t;

}  // namespace shallotbank::journal
