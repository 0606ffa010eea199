// A folder that somebody else writes to: when to look (inotify), and what is there, read whole or not at all.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "aggregator/dynamic_config/rows.hpp"
#include "aggregator/event_loop/fd.hpp"
#include "aggregator/event_loop/loop.hpp"

namespace winchhall::files {

// Tells that something may have changed, and never what: a file written, renamed over, removed; the folder,
// or a symbolic link on the way to it, replaced, gone or back; words lost because there were too many.
class FolderWatch {
 public:
  FolderWatch(net::Loop& loop, std::string folder, std::function<void()> changed);
  ~FolderWatch();

  // Watches what the path leads to by now. To be called before each look: the folder may be another one.
  void rearm();
  bool working() const { return static_cast<bool>(fd_); }  // else: only looking now and then helps

 private:
  void heard();
  void watch(const std::string& path, std::uint32_t events, std::map<int, std::string>& now);

  net::Loop& loop_;
  std::string folder_;
  std::function<void()> changed_;
  net::UniqueFd fd_;
  std::map<int, std::string> watched_;
};

struct Look {
  generations::Bytes bytes{};
  std::vector<generations::Fault> faults{};  // a file over its bound, or that is none, or can't be read
  bool disturbed = false;                    // something was written while it was read: look again
  bool there = false;                        // the folder is
};

// Reads the set. Only its own names are opened, inside the folder: no link out of it is followed.
Look look_at(const std::string& folder, std::size_t most_bytes);

}  // namespace winchhall::files
