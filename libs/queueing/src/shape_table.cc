#include "shape_table.h"

#include <boost/container_hash/hash.hpp>

namespace shallotbank::queueing {
namespace {

auto NeedsAtLeast(const ShapeKey& larger, const ShapeKey& smaller) -> bool {
  if (larger == smaller) {
    return true;
  }
  return larger.job_sequence == 0 && smaller.job_sequence == 0 &&
         larger.shape.placement_class == smaller.shape.placement_class &&
         larger.shape.tasks >= smaller.shape.tasks &&
         smaller.shape.need.FitsIn(larger.shape.need);
}

}  // namespace

auto ShapeKeyHash::operator()(const ShapeKey& key) const -> std::size_t {
  std::size_t seed = 0;
  boost::hash_combine(seed, key.shape.need.cores_milli);
  boost::hash_combine(seed, key.shape.need.memory_mib);
  boost::hash_combine(seed, key.shape.need.accelerators);
  boost::hash_combine(seed, key.shape.tasks);
  boost::hash_combine(seed, key.shape.placement_class);
  boost::hash_combine(seed, key.job_sequence);
  return seed;
}

auto ShapeTable::Acquire(const ShapeKey& key) -> Entry* {
  const auto [found, is_new] = this->entries.try_emplace(key);
  auto& entry = found->second;
  entry.references++;
  if (is_new) {
    entry.key = key;
    entry.mask_bit = this->AllocateMaskBit();
    for (const auto& record : this->block_records) {
      if (NeedsAtLeast(key, record.key)) {
        this->MarkBlocked(entry, record.reason);
        break;
      }
    }
  }
  return &entry;
}

auto ShapeTable::AllocateMaskBit() -> std::uint64_t {
  const auto free = ~this->used_mask & ~kSharedBit;
  const auto mask_bit = free == 0 ? kSharedBit : free & (~free + 1);
  this->used_mask |= mask_bit & ~kSharedBit;
  return mask_bit;
}

auto ShapeTable::MarkBlocked(Entry& entry, BlockReason reason) -> void {
  entry.block_reason = reason;
  this->blocked_keys.push_back(entry.key);
  this->blocked_mask |= entry.mask_bit & ~kSharedBit;
}

auto ShapeTable::Release(Entry* entry) -> void {
  if (--entry->references == 0) {
    const auto key = entry->key;
    this->used_mask &= ~entry->mask_bit;
    this->blocked_mask &= ~entry->mask_bit;
    this->entries.erase(key);
  }
}

auto ShapeTable::Block(const ShapeKey& key, BlockReason reason) -> void {
  this->block_records.push_back({key, reason});
  for (auto& [other, entry] : this->entries) {
    if (!entry.block_reason && NeedsAtLeast(other, key)) {
      this->MarkBlocked(entry, reason);
    }
  }
}

auto ShapeTable::UnblockAll() -> bool {
  if (this->block_records.empty()) {
    return false;
  }
  this->block_records.clear();
  for (const auto& key : this->blocked_keys) {
    const auto found = this->entries.find(key);
    if (found != this->entries.end()) {
      found->second.block_reason.reset();
    }
  }
  this->blocked_keys.clear();
  this->blocked_mask = 0;
  return true;
}

}  // namespace shallotbank::queueing
