// A real winchhall process, started as an operator would: its files in a folder of its own, its log read
// through a pipe. Ended by its own process id.
#pragma once

#include <sys/types.h>

#include <functional>
#include <string>

#include "aggregator/event_loop/event_loop.hpp"
#include "aggregator/event_loop/fd.hpp"

namespace winchhall::testbed {

class Process {
 public:
  // `program`: path of winchhall. `config` and `ops` are written to files; `ops` may be empty.
  Process(event_loop::Loop& loop, std::string program, const std::string& config, const std::string& ops);
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
  bool logged(const std::string& words) const { return log_.find(words, log_start_) != std::string::npos; }
  std::size_t count(const std::string& words) const;
  const std::string& log() const { return log_; }
  void write_config(const std::string& config);
  void write_operator_file(const std::string& ops);

 private:
  event_loop::Loop& loop_;
  std::string program_, folder_, log_;
  std::size_t log_start_ = 0;
  bool has_operator_file_;
  pid_t pid_ = 0;
  event_loop::UniqueFd pipe_;
};

}  // namespace winchhall::testbed
