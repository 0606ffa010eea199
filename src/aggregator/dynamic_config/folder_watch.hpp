// Change notification for a directory that other processes write to (inotify), and consistent reads of its
// files.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "aggregator/dynamic_config/rows.hpp"
#include "aggregator/event_loop/event_loop.hpp"
#include "aggregator/event_loop/fd.hpp"

namespace winchhall::dynamic_config {

// Reports that something may have changed, not what: a file was written, replaced or removed; the directory
// or a symbolic link on its path was replaced, removed or created; the event queue overflowed. On the event
// loop only.
class FolderWatch {
 public:
  // `changed` is called on the event loop, once for any number of events that are pending.
  FolderWatch(event_loop::Loop& loop, std::string folder, std::function<void()> changed);
  ~FolderWatch();

  // Watches what the path refers to now. To be called before each scan, as the directory may have been
  // replaced.
  void rearm();
  // False if the system gave no inotify instance: changes are then found by periodic scans only.
  bool working() const { return static_cast<bool>(fd_); }

 private:
  void on_readable();
  void watch(const std::string& path, std::uint32_t events, std::map<int, std::string>& watched);

  event_loop::Loop& loop_;
  std::string folder_;
  std::function<void()> changed_;
  event_loop::UniqueFd fd_;
  std::map<int, std::string> watched_;  // paths by inotify watch descriptor
};

// Result of `read_config_folder`.
struct FolderContents {
  dynamic_config::Bytes bytes{};
  std::vector<dynamic_config::Fault> faults{};  // files that are too large, not regular, or unreadable
  bool changed_while_read = false;              // a file or the directory changed meanwhile: to be read again
  bool exists = false;                          // the directory could be opened
};

// Reads the files named by `file_name` in this directory; symbolic links out of it are not followed. Blocks;
// thread-safe.
FolderContents read_config_folder(const std::string& folder, std::size_t max_file_bytes);

}  // namespace winchhall::dynamic_config
