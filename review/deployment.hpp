// A small deployment of real winchhall-cluster processes on loopback, with the commands of the deploy file.
#pragma once

#include <sys/types.h>

#include <filesystem>
#include <string>
#include <vector>

#include "review/record.hpp"

namespace winchhall::review {

// A process of the deployment. Its machine is its loopback address.
struct DeployedProcess {
  std::string name;
  std::string role;  // as in deploy/system.toml
  std::string machine_class;
  std::string serves;
  std::string ip;
  std::string backend;  // of a side machine
  pid_t pid = 0;        // 0: not running
};

// Five core machines, one edge machine and one side machine for each entry of `backends`, with the settings
// of the site gup-lima. Each machine has its own address in 127.0.0.0/8; all files lie in a temporary folder.
// The destructor kills every process that still runs and removes the folder.
class Deployment {
 public:
  // Throws std::runtime_error if no free ports are found.
  Deployment(Record& record, const std::vector<std::string>& backends);
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  // Starts all processes. The first time, they found a new group.
  void start_all();
  // Starts a process with the settings of a later start.
  void start(const std::string& name);
  // Sends SIGKILL and waits for the end.
  void kill(const std::string& name);
  // Sends SIGKILL to all processes at once.
  void kill_all();
  // Sends a signal.
  void signal(const std::string& name, int number);
  // Names of the processes that have ended by themselves.
  std::vector<std::string> unexpected_ends();

  std::string front() const { return edge_ip_ + ":8149"; }
  std::string ready() const { return edge_ip_ + ":8141"; }
  std::string core_control(unsigned index) const { return core_ip(index) + ":8144"; }
  std::string side_control(unsigned index) const { return side_ip(index) + ":8144"; }
  static constexpr unsigned kCores = 5;

 private:
  std::string core_ip(unsigned index) const { return prefix_ + std::to_string(1 + index); }
  std::string side_ip(unsigned index) const { return prefix_ + std::to_string(40 + index); }
  DeployedProcess& find(const std::string& name);
  std::filesystem::path folder_of(const std::string& name) const { return folder_ / name; }
  std::string settings_of(const DeployedProcess& process) const;

  Record& record_;
  std::filesystem::path folder_;
  std::string prefix_;  // of the addresses, with the last dot
  std::string edge_ip_;
  unsigned first_internal_port_ = 0;
  bool first_start_ = true;
  std::vector<DeployedProcess> processes_;
};

}  // namespace winchhall::review
