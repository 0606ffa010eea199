// A child process of a program under test.
#pragma once

#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <stdexcept>
#include <string>

namespace winchhall::compatibility {

// Kills the process and waits for its end when it is destroyed.
class ChildProcess {
 public:
  // Starts `program COMMAND --settings SETTINGS`; its output is appended to the file `log`. Throws
  // std::runtime_error if fork() fails.
  ChildProcess(const std::string& program, const std::string& command, const std::string& settings,
               const std::string& log)
      : pid_(fork()) {
    if (pid_ < 0) throw std::runtime_error("fork failed");
    if (pid_ != 0) return;
    const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    execl(program.c_str(), program.c_str(), command.c_str(), "--settings", settings.c_str(), nullptr);
    _exit(127);
  }
  ~ChildProcess() {
    ::kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

 private:
  const pid_t pid_;
};

}  // namespace winchhall::compatibility
