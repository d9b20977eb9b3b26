#include "platform/host_list.h"

#include <nlohmann/json.hpp>

#include "json/parse.h"

namespace shallotbank::platform {
namespace {

namespace leaf = boost::leaf;
using nlohmann::json;

auto ReadText(const json& host, const char* field) -> std::string {
  const auto found = host.find(field);
  return found != host.end() && found->is_string() ? found->get<std::string>()
                                                   : "";
}

auto ReadAmount(const json& host, const char* field)
    -> leaf::result<std::int64_t> {
  const auto found = host.find(field);
  if (found == host.end()) {
    return 0;
  }
  if (!found->is_number_integer() || found->get<std::int64_t>() < 0) {
    return leaf::new_error(
        HostListError{field, "must be an integer of at least 0"});
  }
  return found->get<std::int64_t>();
}

auto ParseHost(const json& entry) -> leaf::result<Host> {
  if (!entry.is_object()) {
    return leaf::new_error(HostListError{"hosts", "must hold objects"});
  }
  Host host;
  host.name = ReadText(entry, "name");
  host.url = ReadText(entry, "url");
  const auto role = ReadText(entry, "role");
  if (host.name.empty() || host.url.empty()) {
    return leaf::new_error(HostListError{"name", "name and url are required"});
  }
  if (role != "worker" && role != "minion") {
    return leaf::new_error(HostListError{"role", "must be worker or minion"});
  }
  host.role = role == "worker" ? HostRole::kWorker : HostRole::kMinion;
  host.service = ServiceName(ReadText(entry, "service"));
  host.domain = FailureDomain(ReadText(entry, "domain"));
  host.rack = RackId(ReadText(entry, "rack"));
  host.is_leaving = ReadText(entry, "state") == "leaving";
  BOOST_LEAF_ASSIGN(host.capacity.cores_milli,
                    ReadAmount(entry, "cores_milli"));
  BOOST_LEAF_ASSIGN(host.capacity.memory_mib, ReadAmount(entry, "memory_mib"));
  BOOST_LEAF_ASSIGN(host.capacity.accelerators,
                    ReadAmount(entry, "accelerators"));
  BOOST_LEAF_AUTO(slots, ReadAmount(entry, "slots"));
  BOOST_LEAF_AUTO(connections, ReadAmount(entry, "connections"));
  host.slots = static_cast<int>(slots);
  host.connections = static_cast<int>(connections);
  return host;
}

}  // namespace

auto ParseHostList(std::string_view body) -> leaf::result<std::vector<Host>> {
  const auto document = shallotbank::json::Parse(body);
  if (!document.is_object() || !document.contains("hosts") ||
      !document["hosts"].is_array()) {
    return leaf::new_error(HostListError{"hosts", "must be an array"});
  }
  std::vector<Host> hosts;
  for (const auto& entry : document["hosts"]) {
    BOOST_LEAF_AUTO(host, ParseHost(entry));
    hosts.push_back(std::move(host));
  }
  return hosts;
}

auto HostTable::Update(std::vector<Host> listed, TimePoint now) -> bool {
  std::map<std::string, Host> updated;
  for (auto& host : listed) {
    const auto known = this->hosts.find(host.name);
    if (known != this->hosts.end() && known->second.is_leaving) {
      host.is_leaving = true;
    }
    updated[host.name] = std::move(host);
  }
  for (const auto& [name, host] : this->hosts) {
    if (!updated.contains(name)) {
      this->removed[name] = {host, now};
    }
  }
  std::erase_if(this->removed, [&updated, now](const auto& entry) {
    return updated.contains(entry.first) ||
           now - entry.second.since > kRemovedHostRetention;
  });
  const bool changed = updated != this->hosts;
  this->hosts = std::move(updated);
  return changed;
}

auto HostTable::FindIncludingRemoved(const std::string& name) const
    -> const Host* {
  const auto listed = this->hosts.find(name);
  if (listed != this->hosts.end()) {
    return &listed->second;
  }
  const auto removed_host = this->removed.find(name);
  return removed_host == this->removed.end() ? nullptr
                                             : &removed_host->second.host;
}

}  // namespace shallotbank::platform
