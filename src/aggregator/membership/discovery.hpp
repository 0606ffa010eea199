// The membership source of the platform: one watch, or one fetch of the whole list, at a time.
#pragma once

#include <memory>
#include <string>

#include "aggregator/coordination/request_router.hpp"
#include "aggregator/event_loop/stream.hpp"
#include "aggregator/http/http.hpp"

namespace winchhall::http {

class Discovery final : public coordination::MembershipSource {
 public:
  Discovery(event_loop::Loop& loop, coordination::RequestRouter& router, std::string address,
            long long revision, event_loop::Millis connect_timeout);
  ~Discovery();

  void watch(bool on) override;
  void fetch() override;
  // From now on the service is asked there. What is held stays; a call that is open begins anew at once.
  void move(const std::string& address);

 private:
  class Call;
  void start(std::shared_ptr<Call>& slot, bool watch);
  void stop(std::shared_ptr<Call>& slot);
  void over(Call& call, const std::string& why);  // empty: it ended as it should
  void on_update(Call& call, const std::string& text);

  event_loop::Loop& loop_;
  coordination::RequestRouter& router_;
  std::string address_;
  long long revision_;
  event_loop::Millis connect_timeout_;
  bool watch_wanted_ = false;  // a watch, whether or not one is open just now
  std::shared_ptr<Call> watching_, fetching_;
};

}  // namespace winchhall::http
