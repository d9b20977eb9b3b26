#pragma once

#include <cstdint>
#include <memory>
#include <mutex>
#include <string>

#include <boost/leaf.hpp>
#include <nlohmann/json.hpp>

#include "http/server.h"
#include "standins/faults.h"

namespace shallotbank::standins {

/// Stand-in for the platform's host list. `POST /hosts` replaces the list,
/// `POST /state` with `{"name","state"}` changes the state of one host, and
/// `POST /control` sets Faults.
class HostListStandin {
 public:
  explicit HostListStandin(std::uint16_t port = 0);
  ~HostListStandin();

  auto Start() -> boost::leaf::result<void>;
  auto Url() const -> std::string;

  auto SetHosts(nlohmann::json hosts) -> void;
  auto SetState(const std::string& name, const std::string& state) -> void;
  auto SetFaults(Faults faults) -> void;

 private:
  auto Handle(const http::Request& request, http::Responder responder) -> void;
  auto Answer(const http::Request& request) -> http::Response;

  mutable std::mutex mutex;
  Faults faults;
  nlohmann::json hosts = nlohmann::json::array();
  ResponseDropper dropper;
  std::unique_ptr<http::Server> server;
};

}  // namespace shallotbank::standins
