// Reloads the settings file of a running process on request (a signal) and when a poll detects a change.
#pragma once

#include <functional>
#include <memory>

#include "cluster/common/runtime.hpp"
#include "cluster/common/settings_file.hpp"

namespace winchhall::cluster {

// Polls the settings file every 2 s and reports changes that take effect at run time. An invalid file is
// logged ("settings_refused") and has no effect. Runs on the event loop of `runtime`.
class SettingsWatcher {
 public:
  // Called with the settings in effect after each change of them.
  using ChangeCallback = std::function<void(const NodeSettings& settings)>;

  // `settings`: as read at the start. Without a path nothing is watched. The runtime must outlive the
  // watcher.
  SettingsWatcher(Runtime& runtime, NodeSettings settings, ChangeCallback on_change);

  // Starts polling.
  void start();
  // Stops polling.
  void stop() { timer_.reset(); }
  // Reads the file now.
  void reload();

 private:
  void poll();
  void on_reloaded(bool changed);

  Runtime& runtime_;
  SettingsFile file_;
  const ChangeCallback on_change_;
  std::unique_ptr<Timer> timer_;
};

}  // namespace winchhall::cluster
