// A small deployment of the project's own programs on loopback addresses.
#pragma once

#include <sys/types.h>

#include <filesystem>
#include <memory>
#include <string>
#include <vector>

#include "forwarder.hpp"
#include "record.hpp"

namespace review {

struct Process {
  std::string name;
  std::string role;     // as in deploy/system.toml
  std::string machine;  // machine class
  std::string ip;
  std::string zone;
  std::string backend;  // of a side machine: the service of its leaf
  unsigned edge = 0;    // of an edge machine: its number
  pid_t pid = 0;
};

// Three `core` machines, one or two `edge` machines and one `side` machine for each given service, with the
// bounds of the site gup-lima. An agent listens on 127.0.0.1 for its ingress, so the second edge machine of
// the same host has other internal ports; a forwarder leads what it sends to the seeds on these ports to the
// right ones. The processes are started by the `run` lines of deploy/system.toml from the repository's root.
// The destructor ends all of them and removes the temporary folder.
class Deployment {
 public:
  Deployment(Record& record, const std::vector<std::string>& side_services, unsigned edges = 1);
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  // Throws std::runtime_error if a program of the deploy file isn't there.
  void start_all();
  void start(const std::string& name);
  // Sends a signal; for SIGKILL it also waits for the end.
  void signal(const std::string& name, int number);
  // A core machine that isn't running loses its disk.
  void wipe(const std::string& name);
  // True if all started processes still run.
  bool all_run();

  std::vector<std::string> control_addresses() const;
  std::string front(unsigned edge = 0) const;
  std::string ready(unsigned edge = 0) const;
  std::string side_control(unsigned index) const;
  // Where the logs of the processes are; removed by the destructor.
  std::filesystem::path folder() const { return folder_; }

 private:
  Process& find(const std::string& name);
  bool take_guard(const std::string& ip);
  std::string settings_of(const Process& process) const;

  Record& record_;
  std::filesystem::path folder_;
  unsigned net_ = 0;
  unsigned internal_port_ = 0;
  int guard_ = -1;
  std::vector<std::unique_ptr<Forwarder>> forwarders_;
  bool first_start_ = true;
  std::vector<Process> processes_;
};

}  // namespace review
