#include "daemon/host_poller.h"

#include "base/log.h"

namespace shallotbank::daemon {

HostPoller::HostPoller(std::string url,
                       Duration interval,
                       CoreLoop& loop,
                       http::Client& client,
                       Metrics& metrics)
    : url(std::move(url)),
      interval(interval),
      loop(loop),
      client(client),
      metrics(metrics) {}

auto HostPoller::Tick(TimePoint now) -> void {
  if (this->is_read_in_flight || now < this->next_read) {
    return;
  }
  this->is_read_in_flight = true;
  this->next_read = now + this->interval;
  this->client.Send(
      {.method = "GET", .url = this->url}, [this](http::Reply reply) {
        auto shared = std::make_shared<http::Reply>(std::move(reply));
        this->loop.PostBlocking([this, shared] { this->HandleReply(*shared); });
      });
}

auto HostPoller::HandleReply(const http::Reply& reply) -> void {
  this->is_read_in_flight = false;
  auto hosts = reply.status == 200
                   ? platform::ParseHostList(reply.body)
                   : boost::leaf::new_error(platform::HostListError{
                         "", "the host list gave no answer"});
  const bool is_readable = static_cast<bool>(hosts);
  if (is_readable != this->is_reachable) {
    this->is_reachable = is_readable;
    LogEvent(
        is_readable ? Event::kHostListReachable : Event::kHostListUnreachable,
        {{"url", this->url}});
  }
  if (!is_readable) {
    this->metrics.Add("host_list_failures_total");
    return;
  }
  if (this->table.Update(std::move(hosts.value()), SystemClock().Now()) &&
      this->change_listener) {
    this->change_listener();
  }
}

}  // namespace shallotbank::daemon
