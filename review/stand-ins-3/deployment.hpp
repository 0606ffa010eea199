// A small deployment of real processes on loopback addresses, started with the commands of
// deploy/system.toml.
#pragma once

#include <sys/types.h>

#include <map>
#include <string>
#include <vector>

#include "record.hpp"

namespace review {

// Three core machines, one edge machine (ingress and agent) and one side machine for each entry of
// `services`. The settings have the form of the deployment page and the bounds of the site gup-lima. All
// files are in a temporary folder, which the destructor removes after it has ended the processes.
class Deployment {
 public:
  // `services`: the service of the leaf on each side machine.
  Deployment(Record& record, std::vector<std::string> services);
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  void start_all();
  // Starts one process with its settings of now; `bootstrap` is true only at the first start of all.
  void start(const std::string& name);
  // Sends a signal; after SIGKILL, waits for the end.
  void signal(const std::string& name, int number);
  // True if a process has ended although nobody has ended it.
  bool any_ended();

  std::string control(unsigned index) const;  // operator's API
  std::string front() const;
  std::string ready() const;
  std::string side(unsigned index) const;  // where the leaf of this side machine registers

 private:
  struct Process {
    std::string role;
    std::string ip;
    std::string service;
    std::string zone;
    pid_t pid = 0;
  };
  std::string settings(const std::string& name, const Process& process) const;

  Record& record_;
  std::string folder_;
  unsigned network_ = 0;
  unsigned first_port_ = 0;
  bool bootstrap_ = true;
  std::map<std::string, Process> processes_;
};

}  // namespace review
