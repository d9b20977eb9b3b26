#include "journal/claim_table.h"

#include "field_reader.h"
#include "record_fields.h"

namespace shallotbank::journal {

auto ClaimTable::Find(const ResourceId& resource) const -> const Ownership* {
  const auto found = this->claims.find(resource);
  return found == this->claims.end() ? nullptr : &found->second;
}

auto ClaimTable::EpochOf(const ResourceId& resource) const -> Epoch {
  const auto* ownership = this->Find(resource);
  return ownership == nullptr ? 0 : ownership->epoch;
}

auto ClaimTable::Apply(const Claim& record, Offset offset, WallTime at)
    -> RecordOutcome {
  if (record.supersedes != this->EpochOf(record.resource) ||
      (offset > 0 && record.supersedes == offset)) {
    return Invalid("superseded");
  }
  // Epoch 0 means that the resource has no owner.
  if (offset == 0) {
    return Invalid("offset_zero");
  }
  this->claims.insert_or_assign(
      record.resource, Ownership{record.owner, offset, record.addresses, at});
  return kValid;
}

auto ClaimTable::Apply(const Release& record, Offset offset) -> RecordOutcome {
  const auto* ownership = this->Find(record.resource);
  if (ownership == nullptr || ownership->epoch != record.epoch ||
      ownership->owner != record.owner) {
    return Invalid("not_owner");
  }
  // Otherwise a second claim in the same batch would get the same epoch.
  if (record.epoch == offset) {
    return Invalid("same_offset");
  }
  this->claims.erase(record.resource);
  return kValid;
}

auto ClaimTable::Save(const SnapshotSink& sink) const -> void {
  for (const auto& [resource, ownership] : this->claims) {
    sink({{"kind", "claim"},
          {"resource", resource.Text()},
          {"owner", ownership.owner.Text()},
          {"epoch", ownership.epoch},
          {"addresses", WriteStrings(ownership.addresses)},
          {"at", WriteTimestamp(ownership.claimed_at)}});
  }
}

auto ClaimTable::Load(const nlohmann::json& item) -> bool {
  FirstError error;
  FieldReader reader(&item, "", error);
  const auto resource = reader.Identifier<ResourceId>("resource");
  Ownership ownership;
  ownership.owner = reader.Identifier<ProcessId>("owner");
  ownership.epoch = reader.Unsigned("epoch");
  ownership.addresses = ReadStrings(reader, "addresses");
  ownership.claimed_at = reader.Timestamp("at");
  return !error && this->claims.emplace(resource, std::move(ownership)).second;
}

auto ResourceOf(const ShardId& shard) -> ResourceId {
  return ResourceId(shard.Text());
}

}  // namespace shallotbank::journal
