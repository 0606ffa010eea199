// A real winchhall process, started as an operator would: its files in a folder of its own, its log read
// through a pipe. Ended by its own process id.
#pragma once

#include <sys/types.h>

#include <functional>
#include <string>

#include "aggregator/event_loop/fd.hpp"
#include "aggregator/event_loop/loop.hpp"

namespace winchhall::testbed {

class Process {
 public:
  // `program`: path of winchhall. `config` and `ops` are written to files; `ops` may be empty.
  Process(net::Loop& loop, std::string program, const std::string& config, const std::string& ops);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void start();
  void signal(int number);
  void kill();  // SIGKILL, and waits for its end
  pid_t pid() const { return pid_; }
  bool running() const { return pid_ > 0; }
  bool ended(int& status);  // it has by itself
  // The number behind these words in the log since its last start; 0 while they aren't there.
  int number_after(const std::string& words) const;
  bool said(const std::string& words) const { return log_.find(words, begin_) != std::string::npos; }
  std::size_t count(const std::string& words) const;
  const std::string& log() const { return log_; }
  void configure(const std::string& config);
  void operate(const std::string& ops);

 private:
  net::Loop& loop_;
  std::string program_, folder_, log_;
  std::size_t begin_ = 0;
  bool has_ops_;
  pid_t pid_ = 0;
  net::UniqueFd pipe_;
};

}  // namespace winchhall::testbed
