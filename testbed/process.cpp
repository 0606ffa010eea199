#include "testbed/process.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>

namespace winchhall::testbed {
namespace {
constexpr std::size_t kMaxLogBytes = 32 * 1024 * 1024;  // later output is discarded

void write_file(const std::string& path, const std::string& text) { std::ofstream(path) << text; }
}  // namespace

Process::Process(event_loop::Loop& loop, std::string program, const std::string& config,
                 const std::string& ops)
    : loop_(loop), program_(std::move(program)), has_operator_file_(!ops.empty()) {
  const char* dir = std::getenv("TMPDIR");
  folder_ = std::string(dir ? dir : "/tmp") + "/winchhall-testbed-XXXXXX";
  if (!mkdtemp(folder_.data())) throw std::runtime_error("mkdtemp failed for a process's folder: " + folder_);
  write_config(config);
  if (has_operator_file_) write_operator_file(ops);
}

Process::~Process() {
  if (running()) kill();
  if (pipe_) loop_.remove(pipe_.get());
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

void Process::write_config(const std::string& config) { write_file(folder_ + "/config.json", config); }
void Process::write_operator_file(const std::string& ops) { write_file(folder_ + "/operator.xml", ops); }

void Process::start() {
  int ends[2];
  if (pipe2(ends, O_CLOEXEC) != 0) throw std::runtime_error("pipe2 failed for a process's log");
  if (pipe_) loop_.remove(pipe_.get());
  std::string config = folder_ + "/config.json", ops = folder_ + "/operator.xml";
  pid_ = fork();
  if (pid_ == 0) {
    dup2(ends[1], 2);
    dup2(ends[1], 1);
    for (const char* name :
         {"LB_NAME", "LB_LISTEN", "LB_DISCOVERY", "WINCHHALL_FLIGHT", "WINCHHALL_OPERATOR"})
      unsetenv(name);
    setenv("LB_CONFIG", config.c_str(), 1);
    if (has_operator_file_) setenv("WINCHHALL_OPERATOR", ops.c_str(), 1);
    execl(program_.c_str(), program_.c_str(), nullptr);
    _exit(127);
  }
  ::close(ends[1]);
  pipe_ = event_loop::UniqueFd(ends[0]);
  fcntl(pipe_.get(), F_SETFL, O_NONBLOCK);
  log_start_ = log_.size();
  loop_.add(pipe_.get(), POLLIN, [this](short) {
    char buffer[16384];
    ssize_t n = read(pipe_.get(), buffer, sizeof buffer);
    if (n > 0 && log_.size() < kMaxLogBytes) log_.append(buffer, static_cast<std::size_t>(n));
    if (n == 0) loop_.remove(pipe_.get());
  });
}

void Process::signal(int number) {
  if (running()) ::kill(pid_, number);
}

void Process::kill() {
  if (!running()) return;
  ::kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
  pid_ = 0;
}

bool Process::ended(int& status) {
  if (!running()) return false;
  if (waitpid(pid_, &status, WNOHANG) != pid_) return false;
  pid_ = 0;
  return true;
}

int Process::number_after(const std::string& words) const {
  std::size_t at = log_.find(words, log_start_);
  if (at == std::string::npos || log_.find('\n', at) == std::string::npos) return 0;
  return std::atoi(log_.c_str() + at + words.size());
}

std::size_t Process::count(const std::string& words) const {
  std::size_t n = 0;
  for (std::size_t at = 0; (at = log_.find(words, at)) != std::string::npos; at += words.size()) ++n;
  return n;
}

}  // namespace winchhall::testbed
