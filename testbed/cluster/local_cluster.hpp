// A complete cluster of real processes on loopback.
#pragma once

#include <sys/types.h>

#include <filesystem>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "testbed/cluster/network_reservation.hpp"
#include "testbed/cluster/tcp_forwarder.hpp"

namespace winchhall::testbed::cluster {

// One process of the cluster.
struct LocalProcess {
  std::string name;
  std::string command;  // sub-command of the program
  std::string ip;
  bool control = false;
  unsigned edge = 0;  // number of its edge, which determines its internal ports; 0 for all other machines
  pid_t pid = 0;
};

// Control nodes (three by default), edge machines (ingress and agent; one by default), and `workers` machines
// with a worker-agent. Each machine has its own loopback address, settings file and data directory; all files
// are in a temporary directory, which the destructor removes after killing the processes that still run. As
// agents listen on 127.0.0.1 as well, each further edge has its own internal ports, and forwarders lead its
// first calls to the control nodes to theirs.
class LocalCluster {
 public:
  // `program`: path of winchhall-cluster. `service`: the service that the workers belong to. Throws
  // std::system_error if the temporary directory can't be created.
  LocalCluster(std::string program, unsigned workers, std::string service, unsigned control_nodes = 3,
               unsigned edges = 1);
  ~LocalCluster();
  LocalCluster(const LocalCluster&) = delete;
  LocalCluster& operator=(const LocalCluster&) = delete;

  // Starts all processes; the first call starts a new control group.
  void start_all();
  // Writes the settings file of a process and starts it.
  void start(const std::string& name);
  // From its next start on, the worker-agent belongs to `service`.
  void set_service(unsigned worker, std::string service);
  // From its next start on, the process runs `program`. Its settings and directory stay the same.
  void set_program(const std::string& name, std::string program);
  // Sends SIGKILL and waits for the end of the process.
  void kill(const std::string& name);
  // Removes the data directory of a process that doesn't run, as if its machine had lost its disk.
  void lose_disk(const std::string& name);
  // Sends SIGTERM and waits for the end of the process. Returns the status of waitpid.
  int terminate(const std::string& name);

  // Sends a signal to a process. No effect if it isn't running.
  void signal(const std::string& name, int number);
  // The status of waitpid if the process has ended since it was started; afterwards it counts as not running.
  // Empty while it runs, or if it wasn't started.
  std::optional<int> poll_end(const std::string& name);
  // Whether the process was started and its end was not observed yet.
  bool is_running(const std::string& name) { return find(name).pid > 0; }
  // Names of all processes: control nodes first, then ingress and agent of each edge, then worker-agents.
  std::vector<std::string> process_names() const;
  // Copies the logs of all processes into a directory, which is created.
  void save_logs(const std::filesystem::path& directory) const;

  // Name of the control node that leads a service, as the first one that answers knows it; empty: none known.
  std::string leader_of(const std::string& service) const;

  // Addresses of the HTTP servers.
  std::string control_address(unsigned index) const;
  std::string front_address(unsigned edge = 0) const;
  std::string ready_address() const;
  std::string worker_address(unsigned index) const;
  // Content of a process's log.
  std::string log_of(const std::string& name) const;

 private:
  LocalProcess& find(const std::string& name);
  std::filesystem::path data_directory_of(const std::string& name) const {
    return directory_of(name) / "data";
  }
  std::size_t index_of_worker(unsigned worker) const;
  const std::string& service_of(const LocalProcess& process) const;
  void add(LocalProcess process);
  unsigned first_internal_port(unsigned edge) const;
  void forward_internal_ports(unsigned edge);
  std::string settings_text(const LocalProcess& process) const;
  std::filesystem::path directory_of(const std::string& name) const { return directory_ / name; }

  std::string program_;                          // program of processes without an entry in `programs_`
  std::map<std::string, std::string> programs_;  // by process name
  std::string service_;                          // of worker-agents without an entry in `services_`
  std::map<std::string, std::string> services_;  // by process name
  unsigned control_nodes_;
  unsigned edges_;
  std::filesystem::path directory_;
  NetworkReservation network_;  // its number is the second byte of all addresses
  std::vector<LocalProcess> processes_;
  std::vector<std::unique_ptr<TcpForwarder>> forwarders_;
  bool first_start_ = true;
};

}  // namespace winchhall::testbed::cluster
