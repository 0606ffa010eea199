// Other processes of this aggregator, as the serving program meets them: leaves this one's state, looks for
// theirs.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "aggregator/event_loop/event_loop.hpp"
#include "aggregator/event_loop/worker.hpp"
#include "aggregator/hot_restart/process_registry.hpp"
#include "aggregator/hot_restart/state_folder.hpp"

namespace winchhall::app {

class SiblingProcesses {
 public:
  // Looks at once, before it returns: what others know is wanted from the start. `fill` puts into a state
  // what this process has to tell; `changed` is called after each look.
  SiblingProcesses(event_loop::Loop& loop, const std::string& folder, const std::string& name,
                   std::function<void(hot_restart::State&)> fill, std::function<void()> changed);
  ~SiblingProcesses();  // waits for the file at hand, and takes this process's own away

  const hot_restart::ProcessRegistry& process_registry() const { return registry_; }
  void publish_now();  // what changed should not wait for the next turn

 private:
  void turn();
  void apply_scan(const hot_restart::StateFolder::FolderScan& found);

  event_loop::Loop& loop_;
  hot_restart::StateFolder folder_;
  hot_restart::State own_;
  std::function<void(hot_restart::State&)> fill_;
  std::function<void()> changed_;
  hot_restart::ProcessRegistry registry_;
  event_loop::TimerId timer_{};
  bool busy_ = false, again_ = false;
  std::unique_ptr<event_loop::Worker> worker_;
};

}  // namespace winchhall::app
