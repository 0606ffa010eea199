// A whole cluster of real processes on loopback: each machine has an address of its own (127.1.0.N), its
// settings file and its folder. Processes are ended by their own process ids.
#pragma once

#include <sys/types.h>

#include <filesystem>
#include <map>
#include <string>
#include <vector>

namespace winchhall::testbed::cluster {

// One process of the cluster.
struct LocalProcess {
  std::string name;
  std::string command;  // sub-command of the program
  std::string ip;
  bool control = false;
  pid_t pid = 0;
};

class LocalCluster {
 public:
  // `program`: path of winchhall-cluster. Three control nodes, one edge machine, `workers` side machines of
  // `service`.
  LocalCluster(std::string program, unsigned workers, std::string service);
  ~LocalCluster();
  LocalCluster(const LocalCluster&) = delete;
  LocalCluster& operator=(const LocalCluster&) = delete;

  void start_all();
  void start(const std::string& name);
  // SIGKILL, and waits for its end.
  void kill(const std::string& name);
  // SIGTERM, and waits for its end; the exit status as by waitpid.
  int terminate(const std::string& name);

  // HTTP addresses.
  std::string control_address(unsigned index) const;
  std::string front_address() const;
  std::string ready_address() const;
  std::string worker_address(unsigned index) const;
  // What a process wrote to its log.
  std::string log_of(const std::string& name) const;

 private:
  LocalProcess& find(const std::string& name);
  void add(LocalProcess process);
  std::string settings_of(const LocalProcess& process) const;
  std::filesystem::path folder_of(const std::string& name) const { return folder_ / name; }

  std::string program_;
  std::string service_;
  std::filesystem::path folder_;
  unsigned network_;  // second byte of all addresses, so that two clusters don't meet
  std::vector<LocalProcess> processes_;
  bool first_start_ = true;
};

}  // namespace winchhall::testbed::cluster
