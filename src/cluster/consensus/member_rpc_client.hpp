// Calls to members of the group whose answers are dropped once the group is destroyed.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "cluster/common/runtime.hpp"

namespace winchhall::cluster {

// No callback is called after this object is destroyed, so callbacks may refer to objects that live as long
// as this one. No callback is called from within the function to which it was passed.
class MemberRpcClient {
 public:
  // `local` handles the requests of this node to itself. `runtime` must outlive this object.
  MemberRpcClient(Runtime& runtime, RequestHandler local);

  // Sends a request to this node itself, without using the network.
  void call_local(const wire::Envelope& request, std::function<void(CallResult)> done);
  void call(const Address& address, wire::Envelope request, Millis timeout,
            std::function<void(CallResult)> done);
  // Runs an action soon, in the order of the calls.
  void defer(std::function<void()> action);

 private:
  void run_deferred();

  Runtime& runtime_;
  const RequestHandler handle_local_;
  std::vector<std::function<void()>> deferred_;
  std::unique_ptr<Timer> deferred_timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace winchhall::cluster
