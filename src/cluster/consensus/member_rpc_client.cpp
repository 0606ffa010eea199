#include "cluster/consensus/member_rpc_client.hpp"

#include <utility>

namespace winchhall::cluster {

MemberRpcClient::MemberRpcClient(Runtime& runtime, RequestHandler local)
    : runtime_(runtime), handle_local_(std::move(local)) {}

void MemberRpcClient::call_local(const wire::Envelope& request, std::function<void(CallResult)> done) {
  auto caller = std::make_shared<std::function<void(CallResult)>>(std::move(done));
  handle_local_(request, [this, alive = std::weak_ptr(alive_), caller](wire::Envelope answer) {
    if (alive.expired() || !*caller) return;
    defer([done = std::exchange(*caller, nullptr), answer = std::move(answer)]() mutable {
      done(CallResult{std::move(answer), CallError::timed_out});
    });
  });
}

void MemberRpcClient::call(const Address& address, wire::Envelope request, Millis timeout,
                           std::function<void(CallResult)> done) {
  runtime_.call(address, std::move(request), timeout,
                [alive = std::weak_ptr(alive_), done = std::move(done)](CallResult result) {
                  if (!alive.expired()) done(std::move(result));
                });
}

void MemberRpcClient::defer(std::function<void()> action) {
  deferred_.push_back(std::move(action));
  if (deferred_timer_) return;
  deferred_timer_ = runtime_.after(Millis(0), [this] { run_deferred(); });
}

void MemberRpcClient::run_deferred() {
  deferred_timer_.reset();
  const std::vector<std::function<void()>> actions = std::exchange(deferred_, {});
  const std::weak_ptr<bool> alive = alive_;
  for (const std::function<void()>& action : actions) {
    action();
    if (alive.expired()) return;
  }
}

}  // namespace winchhall::cluster
