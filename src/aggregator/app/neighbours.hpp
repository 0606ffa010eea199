// Other processes of this aggregator, as the serving program meets them: leaves this one's state, looks for
// theirs.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "aggregator/event_loop/loop.hpp"
#include "aggregator/event_loop/worker.hpp"
#include "aggregator/hot_restart/folder.hpp"
#include "aggregator/hot_restart/pairing.hpp"

namespace winchhall::app {

class Neighbours {
 public:
  // Looks at once, before it returns: what others know is wanted from the start. `fill` puts into a state
  // what this process has to tell; `changed` is called after each look.
  Neighbours(net::Loop& loop, const std::string& folder, const std::string& name,
             std::function<void(takeover::State&)> fill, std::function<void()> changed);
  ~Neighbours();  // waits for the file at hand, and takes this process's own away

  const takeover::Pairing& pairing() const { return pairing_; }
  void tell_now();  // what changed should not wait for the next turn

 private:
  void turn();
  void note(const takeover::Folder::Found& found);

  net::Loop& loop_;
  takeover::Folder folder_;
  takeover::State own_;
  std::function<void(takeover::State&)> fill_;
  std::function<void()> changed_;
  takeover::Pairing pairing_;
  net::TimerId timer_{};
  bool busy_ = false, again_ = false;
  std::unique_ptr<net::Worker> worker_;
};

}  // namespace winchhall::app
