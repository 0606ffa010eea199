// Calls to members of the group, where this node's own acceptor is reached without the network.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "cluster/common/runtime.hpp"

namespace winchhall::cluster {

class MemberRpcClient {
 public:
  // `local` handles the requests to this node itself.
  MemberRpcClient(Runtime& runtime, RequestHandler local);

  void call_local(const wire::Envelope& request, std::function<void(CallResult)> done);
  void call(const Address& address, wire::Envelope request, Millis timeout,
            std::function<void(CallResult)> done);
  void defer(std::function<void()> action);

 private:
  void run_deferred();

  Runtime& runtime_;
  const RequestHandler local_;
  std::vector<std::function<void()>> deferred_;
  std::unique_ptr<Timer> deferred_timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace winchhall::cluster
