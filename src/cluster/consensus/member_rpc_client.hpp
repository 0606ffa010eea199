// Calls to members of the group whose answers are dropped once the group is gone.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "cluster/common/runtime.hpp"

namespace winchhall::cluster {

// After this object is destroyed no callback given to it is called any more, so that callbacks may refer to
// anything that lives as long. No callback is called from within the function it was given to.
class MemberRpcClient {
 public:
  // `local` handles the requests of this node to itself. `runtime` must outlive this object.
  MemberRpcClient(Runtime& runtime, RequestHandler local);

  // Calls this node itself without the network.
  void call_local(const wire::Envelope& request, std::function<void(CallResult)> done);
  void call(const Address& address, wire::Envelope request, Millis timeout,
            std::function<void(CallResult)> done);
  // Runs an action soon, in the order of the calls.
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
