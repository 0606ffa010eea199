// Client of the discovery service (HTTP). At most one watch and one fetch are open at a time.
#pragma once

#include <memory>
#include <string>

#include "aggregator/coordination/request_router.hpp"
#include "aggregator/event_loop/stream.hpp"
#include "aggregator/http/http.hpp"

namespace winchhall::http {

// Delivers endpoint lists to the router. Failed calls are reported as such; retries are up to the decision
// module (EndpointListFreshness), which asks by watch() and fetch(). Runs on the event loop; destroying it
// closes the calls without a report.
class Discovery final : public coordination::MembershipSource {
 public:
  // `address`: host:port. `revision`: of the list known from an earlier run, or 0. `connect_timeout` in ms.
  // `loop` and `router` must outlive this object.
  Discovery(event_loop::Loop& loop, coordination::RequestRouter& router, std::string address,
            long long revision, event_loop::Millis connect_timeout);
  ~Discovery();

  void watch(bool on) override;
  void fetch() override;
  // Changes the service's address. The current list stays in use; open calls are restarted at the new
  // address.
  void move(const std::string& address);

 private:
  class Call;
  void start(std::shared_ptr<Call>& slot, bool watch);
  void stop(std::shared_ptr<Call>& slot);
  void finish_call(Call& call, const std::string& why);  // `why` is empty after success
  void on_update(Call& call, const std::string& text);

  event_loop::Loop& loop_;
  coordination::RequestRouter& router_;
  std::string address_;
  long long revision_;
  event_loop::Millis connect_timeout_;
  bool watch_wanted_ = false;  // the last watch() asked for one
  std::shared_ptr<Call> watching_, fetching_;
};

}  // namespace winchhall::http
