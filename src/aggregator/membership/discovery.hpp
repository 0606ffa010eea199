// The membership source of the platform: one watch, or one fetch of the whole list, at a time.
#pragma once

#include <memory>
#include <string>

#include "aggregator/coordination/exchange.hpp"
#include "aggregator/event_loop/stream.hpp"
#include "aggregator/http/http.hpp"

namespace winchhall::platform {

class Discovery final : public core::MembershipSource {
 public:
  Discovery(net::Loop& loop, core::Exchange& exchange, std::string address, long long revision,
            net::Millis connect_timeout);
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
  void told(Call& call, const std::string& text);

  net::Loop& loop_;
  core::Exchange& exchange_;
  std::string address_;
  long long revision_;
  net::Millis connect_timeout_;
  bool wanted_ = false;  // a watch, whether or not one is open just now
  std::shared_ptr<Call> watching_, fetching_;
};

}  // namespace winchhall::platform
