#include "configuration_editor.h"

#include <algorithm>

namespace shallotbank::configuration {
namespace {

template <typename Map>
auto GetFrom(const Map& map, const std::string& name) -> std::optional<Item> {
  const auto found = map.find(typename Map::key_type(name));
  if (found == map.end()) {
    return std::nullopt;
  }
  return Item(found->second);
}

/// An empty reference has already been reported as an error of its field.
template <typename Map>
auto IsMissing(const Map& map, const typename Map::key_type& name) -> bool {
  return !name.IsEmpty() && !map.contains(name);
}

}  // namespace

auto ConfigurationEditor::Get(ItemKind kind, const std::string& name) const
    -> std::optional<Item> {
  switch (kind) {
    case ItemKind::kPolicy:
      return Item(this->target.policy);
    case ItemKind::kOrganisation:
      return GetFrom(this->target.organisations, name);
    case ItemKind::kTeam:
      return GetFrom(this->target.teams, name);
    case ItemKind::kKey:
      return GetFrom(this->target.keys, name);
    case ItemKind::kQueue:
      return GetFrom(this->target.queues, name);
    case ItemKind::kService:
      return GetFrom(this->target.services, name);
    case ItemKind::kProfile:
      return GetFrom(this->target.profiles, name);
  }
  return std::nullopt;
}

auto ConfigurationEditor::UnindexKey(const Key& key) -> void {
  const auto found = this->target.keys_of_team.find(key.team);
  if (found == this->target.keys_of_team.end()) {
    return;
  }
  std::erase(found->second, key.name);
  if (found->second.empty()) {
    this->target.keys_of_team.erase(found);
  }
}

auto ConfigurationEditor::Store(Item item) -> void {
  struct Visitor {
    ConfigurationEditor& editor;
    Configuration& target;

    auto operator()(Policy& value) -> void { target.policy = std::move(value); }
    auto operator()(Organisation& value) -> void {
      target.organisations.insert_or_assign(value.name, value);
    }
    auto operator()(Team& value) -> void {
      target.teams.insert_or_assign(value.name, value);
    }
    auto operator()(Key& value) -> void {
      if (const auto old = target.keys.find(value.name);
          old != target.keys.end()) {
        editor.UnindexKey(old->second);
      }
      target.keys_of_team[value.team].push_back(value.name);
      target.keys.insert_or_assign(value.name, value);
    }
    auto operator()(Queue& value) -> void {
      target.queues.insert_or_assign(value.name, value);
    }
    auto operator()(Service& value) -> void {
      target.services.insert_or_assign(value.name, value);
    }
    auto operator()(Profile& value) -> void {
      target.profiles.insert_or_assign(value.name, value);
    }
  };
  std::visit(Visitor{*this, this->target}, item);
}

auto ConfigurationEditor::Erase(ItemKind kind, const std::string& name)
    -> void {
  switch (kind) {
    case ItemKind::kPolicy:
      this->target.policy = Policy{};
      break;
    case ItemKind::kOrganisation:
      this->target.organisations.erase(OrganisationId(name));
      break;
    case ItemKind::kTeam:
      this->target.teams.erase(TeamId(name));
      break;
    case ItemKind::kKey: {
      const auto found = this->target.keys.find(KeyId(name));
      if (found != this->target.keys.end()) {
        this->UnindexKey(found->second);
        this->target.keys.erase(found);
      }
      break;
    }
    case ItemKind::kQueue:
      this->target.queues.erase(QueueName(name));
      break;
    case ItemKind::kService:
      this->target.services.erase(ServiceName(name));
      break;
    case ItemKind::kProfile:
      this->target.profiles.erase(ProfileName(name));
      break;
  }
}

auto ConfigurationEditor::Put(Item item, std::string path) -> void {
  const auto kind = KindOf(item);
  auto name = NameOf(item);
  auto before = this->Get(kind, name);
  this->changed_items.push_back(
      {kind, std::move(name), std::move(path), std::move(before)});
  this->Store(std::move(item));
}

auto ConfigurationEditor::Remove(ItemKind kind,
                                 const std::string& name,
                                 std::string path) -> bool {
  auto before = this->Get(kind, name);
  if (!before) {
    return false;
  }
  this->changed_items.push_back(
      {kind, name, std::move(path), std::move(before)});
  this->Erase(kind, name);
  return true;
}

auto ConfigurationEditor::Rollback() -> void {
  for (auto change = this->changed_items.rbegin();
       change != this->changed_items.rend(); ++change) {
    this->Erase(change->kind, change->name);
    if (change->before) {
      this->Store(*change->before);
    }
  }
  this->changed_items.clear();
}

auto ConfigurationEditor::FitsAnyWorker(const Profile& profile) const -> bool {
  const auto& sizes = this->target.policy.largest_workers;
  return sizes.empty() || profile.job_class == JobClass::kRequest ||
         std::any_of(sizes.begin(), sizes.end(), [&](const Resources& size) {
           return profile.need.FitsIn(size);
         });
}

auto ConfigurationEditor::CheckProfile(const Profile& profile,
                                       const std::string& path,
                                       ErrorList& errors) const -> void {
  if (IsMissing(this->target.queues, profile.queue)) {
    errors.Add(path + ".queue", "unknown_reference",
               "there is no queue '" + profile.queue.Text() + "'");
  }
  if (profile.job_class == JobClass::kRequest &&
      IsMissing(this->target.services, profile.service)) {
    errors.Add(path + ".service", "unknown_reference",
               "there is no service '" + profile.service.Text() + "'");
  }
  if (!this->FitsAnyWorker(profile)) {
    errors.Add(path + ".need", "no_worker_fits",
               "no worker size of the policy can hold one task");
  }
}

auto ConfigurationEditor::CheckPolicy(const std::string& path,
                                      ErrorList& errors) const -> void {
  if (this->target.policy.waiting_weight == 0 &&
      this->target.policy.share_weight == 0) {
    errors.Add(path + ".waiting_weight", "out_of_range",
               "waiting_weight and share_weight cannot both be 0");
  }
  for (const auto& [name, profile] : this->target.profiles) {
    // A profile in the same set of changes is reported under its own path.
    if (!this->IsChanged(ItemKind::kProfile, name.Text()) &&
        !this->FitsAnyWorker(profile)) {
      errors.Add(path + ".largest_workers", "no_worker_fits",
                 "no worker size can hold a task of the profile '" +
                     name.Text() + "'");
    }
  }
}

auto ConfigurationEditor::IsChanged(ItemKind kind,
                                    const std::string& name) const -> bool {
  return std::any_of(this->changed_items.begin(), this->changed_items.end(),
                     [&](const ChangedItem& change) {
                       return change.kind == kind && change.name == name;
                     });
}

auto ConfigurationEditor::CheckItem(const Item& item,
                                    const std::string& path,
                                    ErrorList& errors) const -> void {
  if (const auto* team = std::get_if<Team>(&item)) {
    if (IsMissing(this->target.organisations, team->organisation)) {
      errors.Add(
          path + ".organisation", "unknown_reference",
          "there is no organisation '" + team->organisation.Text() + "'");
    }
  } else if (const auto* key = std::get_if<Key>(&item)) {
    if (IsMissing(this->target.teams, key->team)) {
      errors.Add(path + ".team", "unknown_reference",
                 "there is no team '" + key->team.Text() + "'");
    }
  } else if (const auto* profile = std::get_if<Profile>(&item)) {
    this->CheckProfile(*profile, path, errors);
  } else if (std::holds_alternative<Policy>(item)) {
    this->CheckPolicy(path, errors);
  }
}

auto ConfigurationEditor::CheckUnused(const ChangedItem& removed,
                                      ErrorList& errors) const -> void {
  const auto report = [&](std::string_view kind, const std::string& name) {
    errors.Add(removed.path, "in_use",
               "the " + std::string(kind) + " '" + name + "' refers to it");
  };
  if (removed.kind == ItemKind::kOrganisation) {
    for (const auto& [name, team] : this->target.teams) {
      if (team.organisation.Text() == removed.name) {
        report("team", name.Text());
      }
    }
  } else if (removed.kind == ItemKind::kTeam) {
    const auto keys = this->target.keys_of_team.find(TeamId(removed.name));
    if (keys != this->target.keys_of_team.end()) {
      for (const auto& key : keys->second) {
        report("key", key.Text());
      }
    }
  } else if (removed.kind == ItemKind::kQueue ||
             removed.kind == ItemKind::kService) {
    for (const auto& [name, profile] : this->target.profiles) {
      const auto& used = removed.kind == ItemKind::kQueue
                             ? profile.queue.Text()
                             : profile.service.Text();
      if (used == removed.name) {
        report("profile", name.Text());
      }
    }
  }
}

auto ConfigurationEditor::Check(ErrorList& errors) const -> void {
  for (const auto& change : this->changed_items) {
    if (const auto current = this->Get(change.kind, change.name)) {
      this->CheckItem(*current, change.path, errors);
    } else {
      this->CheckUnused(change, errors);
    }
  }
}

}  // namespace shallotbank::configuration
