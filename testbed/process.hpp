// Runs a real winchhall process as an operator would: configuration files in a temporary folder, the log read
// through a pipe.
#pragma once

#include <sys/types.h>

#include <functional>
#include <string>

#include "aggregator/event_loop/event_loop.hpp"
#include "aggregator/event_loop/fd.hpp"

namespace winchhall::testbed {

// Owns the process, its temporary folder and its log; the destructor kills the process. It signals only the
// process id that it started.
class Process {
 public:
  // `program`: path of the executable. `config` (JSON) and `ops` (the operator's XML) are written to files;
  // without `ops` the process gets no operator file.
  Process(event_loop::Loop& loop, std::string program, const std::string& config, const std::string& ops);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void start();
  void signal(int number);
  void kill();  // sends SIGKILL and waits for the process to end
  pid_t pid() const { return pid_; }
  bool running() const { return pid_ > 0; }
  bool ended(int& status);  // true once when the process has ended without kill()
  // Returns the number after `words` in the log since the last start; 0 until the log has that line.
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
