#include "review/deployment.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <system_error>

namespace winchhall::review {

namespace {

constexpr const char* kProgram = "target/winchhall-cluster";
constexpr unsigned kInternalPorts = 16;
constexpr unsigned kNetworks = 200;
// Below the range from which the kernel takes ports for outgoing connections.
constexpr unsigned kLowestInternalPort = 11000;

std::string make_temporary_folder() {
  std::string pattern = (std::filesystem::temp_directory_path() / "winchhall-review-XXXXXX").string();
  if (!mkdtemp(pattern.data())) throw std::system_error(errno, std::generic_category(), "mkdtemp");
  return pattern;
}

bool is_free(const std::string& ip, unsigned port) {
  const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  const bool free = bind(handle, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
  close(handle);
  return free;
}

}  // namespace

Deployment::Deployment(Record& record, const std::vector<std::string>& backends)
    : record_(record), folder_(make_temporary_folder()) {
  for (unsigned attempt = 0; attempt < kNetworks && prefix_.empty(); ++attempt) {
    const unsigned network = 20 + (static_cast<unsigned>(getpid()) + attempt) % kNetworks;
    const unsigned port = kLowestInternalPort + network * kInternalPorts;
    const std::string prefix = "127." + std::to_string(network) + ".0.";
    if (!is_free("127.0.0.1", port + 1) || !is_free(prefix + "1", port) || !is_free(prefix + "1", 8144))
      continue;
    prefix_ = prefix;
    first_internal_port_ = port;
  }
  if (prefix_.empty()) throw std::runtime_error("no free ports");
  edge_ip_ = prefix_ + "20";
  for (unsigned i = 0; i < kCores; ++i)
    processes_.push_back({"core-" + std::to_string(i), "control", "core", "control", core_ip(i), ""});
  processes_.push_back({"ingress", "ingress", "edge", "edge", edge_ip_, ""});
  processes_.push_back({"agent", "agent", "edge", "", edge_ip_, ""});
  for (unsigned i = 0; i < backends.size(); ++i)
    processes_.push_back(
        {"side-" + std::to_string(i), "worker-agent", "side", "side", side_ip(i), backends[i]});
  for (const DeployedProcess& process : processes_)
    std::filesystem::create_directories(folder_of(process.name));
}

Deployment::~Deployment() {
  for (const DeployedProcess& process : processes_)
    if (process.pid > 0) kill(process.name);
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

DeployedProcess& Deployment::find(const std::string& name) {
  for (DeployedProcess& process : processes_)
    if (process.name == name) return process;
  throw std::invalid_argument("no process " + name);
}

std::string Deployment::settings_of(const DeployedProcess& process) const {
  const bool core = process.machine_class == "core";
  std::ostringstream text;
  text << "node_name = \"" << (process.machine_class == "edge" ? "edge-0" : process.name) << "\"\nrole = \""
       << process.role << "\"\nmachine_class = \"" << process.machine_class << "\"\nserves = ["
       << (process.serves.empty() ? "" : "\"" + process.serves + "\"") << "]\nip = \"" << process.ip
       << "\"\nzone = \"lima-sur\"\nregion = \"lima\"\ninternal_ports = [" << first_internal_port_ << ','
       << first_internal_port_ + kInternalPorts - 1 << "]\nseeds = [\"" << core_control(0) << "\",\""
       << core_control(1) << "\",\"" << core_control(2)
       << "\"]\nbootstrap = " << (first_start_ ? "true" : "false")
       << "\ncounts_for_quorum = " << (core ? "true" : "false") << '\n';
  if (core) text << "data_dir = \"" << (folder_of(process.name) / "data").string() << "\"\n";
  text << "discovery = \"local\"\nentry_mode = \"vip\"\nheartbeat_ms = 1500\n"
          "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\"]\ncommands = "
          "\"heartbeat\"\n";
  if (!process.backend.empty())
    text << "app = \"" << process.ip << ":8145\"\nbackend = \"" << process.backend << "\"\n";
  text << "[zones]\nlima-sur = \"lima\"\n[bind_addrs]\n";
  if (process.role == "ingress") {
    text << "front = \"" << front() << "\"\nready = \"" << ready() << "\"\n";
  } else if (process.role != "agent") {
    text << "control = \"" << process.ip << ":8144\"\n";
  }
  text << "[limits]\ncores = 1\nmemory_mb = 256\nmax_fds = 4096\nlink_mbps = 1000.0\ndisk_mb = "
       << (core ? 128 : 0) << "\n[fault_tolerance]\nmachines = 1\nzones = 0\nregions = 0\n";
  text << "[bounds]\nseed_lag_s = 3\naddr_reuse_s = 2\ncontact_ms = 3000\nack_timeout_ms = 4000\ncatch_up_s "
          "= 4\n"
          "drain_timeout_ms = 2000\ngrace_period_s = 6\nloss_slack_ms = 200\nconfig_apply_ms = 2000\n"
          "rollback_slack_ms = 250\nmax_stretch_ms = 5000\nrecovery_s = 12\nhold_max_ms = 10000\nstop_ms = "
          "400\n"
          "gang_ms = 3000\ncancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\nfinish_s = 14\nstatus_s = "
          "120\n"
          "far_x = 1.5\nsave_s = 2\nrestore_ms = 100\n";
  return text.str();
}

void Deployment::start_all() {
  for (const DeployedProcess& process : processes_) start(process.name);
  first_start_ = false;
}

void Deployment::start(const std::string& name) {
  DeployedProcess& process = find(name);
  const std::string settings = (folder_of(name) / "boot.toml").string();
  const std::string log = (folder_of(name) / "log").string();
  std::ofstream(settings) << settings_of(process);
  const pid_t parent = getpid();
  const pid_t pid = fork();
  if (pid < 0) throw std::system_error(errno, std::generic_category(), "fork");
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);  // a case that is ended leaves no process behind
    if (getppid() != parent) _exit(127);
    const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    setenv("WINCHHALL_NODE_FILE", settings.c_str(), 1);
    execl(kProgram, kProgram, process.role.c_str(), nullptr);
    _exit(127);
  }
  process.pid = pid;
  record_.line("start of process " + name);
}

void Deployment::kill(const std::string& name) {
  DeployedProcess& process = find(name);
  if (process.pid <= 0) return;
  ::kill(process.pid, SIGKILL);
  waitpid(process.pid, nullptr, 0);
  process.pid = 0;
  record_.line("SIGKILL to process " + name);
}

void Deployment::kill_all() {
  for (const DeployedProcess& process : processes_)
    if (process.pid > 0) ::kill(process.pid, SIGKILL);
  for (const DeployedProcess& process : processes_) kill(process.name);
}

void Deployment::signal(const std::string& name, int number) {
  const DeployedProcess& process = find(name);
  if (process.pid <= 0) return;
  ::kill(process.pid, number);
  record_.line("signal " + std::to_string(number) + " to process " + name);
}

std::vector<std::string> Deployment::unexpected_ends() {
  std::vector<std::string> ended;
  for (DeployedProcess& process : processes_) {
    int status = 0;
    if (process.pid <= 0 || waitpid(process.pid, &status, WNOHANG) != process.pid) continue;
    process.pid = 0;
    ended.push_back(process.name);
  }
  return ended;
}

}  // namespace winchhall::review
