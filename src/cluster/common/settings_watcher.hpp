// Follows the settings file of a running process: reads it again on request (a signal) and when a poll finds
// that it has changed. A bad file is logged and changes nothing.
#pragma once

#include <functional>
#include <memory>

#include "cluster/common/runtime.hpp"
#include "cluster/common/settings_file.hpp"

namespace winchhall::cluster {

class SettingsWatcher {
 public:
  // Told of the settings in force after each change.
  using OnChange = std::function<void(const NodeSettings& settings)>;

  // `settings`: as read at the start; without a path nothing is followed. The runtime outlives the watcher.
  SettingsWatcher(Runtime& runtime, NodeSettings settings, OnChange on_change);

  // Polls from now on.
  void start();
  void stop() { timer_.reset(); }
  // Reads the file now.
  void reload();

 private:
  void poll();
  void report_reload(bool changed);

  Runtime& runtime_;
  SettingsFile file_;
  const OnChange on_change_;
  std::unique_ptr<Timer> timer_;
};

}  // namespace winchhall::cluster
