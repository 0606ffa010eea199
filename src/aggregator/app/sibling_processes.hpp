// Publishes this process's state to the other processes of this aggregator, and reads theirs periodically.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "aggregator/event_loop/event_loop.hpp"
#include "aggregator/event_loop/worker.hpp"
#include "aggregator/hot_restart/process_registry.hpp"
#include "aggregator/hot_restart/state_folder.hpp"

namespace winchhall::app {

// Owns a worker thread for the file I/O; all other work runs on the loop's thread, and so do the callbacks.
// The loop must outlive it.
class SiblingProcesses {
 public:
  // Scans the folder before it returns, because the state of the other processes is needed at the start.
  // `fill_state` fills in this process's state before each write; `on_scanned` is called after each later
  // scan.
  SiblingProcesses(event_loop::Loop& loop, const std::string& folder, const std::string& name,
                   std::function<void(hot_restart::State&)> fill_state, std::function<void()> on_scanned);
  ~SiblingProcesses();  // waits for the write in progress and removes this process's state file

  const hot_restart::ProcessRegistry& process_registry() const { return registry_; }
  void publish_now();  // without waiting for the next interval

 private:
  void publish_and_scan();
  void apply_scan(const hot_restart::StateFolder::FolderScan& scan);

  event_loop::Loop& loop_;
  hot_restart::StateFolder folder_;
  hot_restart::State own_;
  std::function<void(hot_restart::State&)> fill_state_;
  std::function<void()> on_scanned_;
  hot_restart::ProcessRegistry registry_;
  event_loop::TimerId timer_{};
  bool is_publishing_ = false, publish_again_ = false;
  std::unique_ptr<event_loop::Worker> worker_;
};

}  // namespace winchhall::app
