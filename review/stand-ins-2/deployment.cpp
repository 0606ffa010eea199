#include "deployment.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <random>
#include <sstream>
#include <stdexcept>

namespace review {
namespace {

constexpr unsigned kControlPort = 8144;
constexpr unsigned kFrontPort = 8149;
constexpr unsigned kReadyPort = 8141;
constexpr unsigned kAppPort = 8145;
constexpr unsigned kCores = 3;
constexpr unsigned kFirstEdge = 20;
constexpr unsigned kInternalPorts = 16;
constexpr unsigned kPortsOfSecondEdge = 8;  // from this one of the internal ports on
constexpr unsigned kFirstInternalPort = 20000;

bool is_free(const std::string& ip, unsigned port) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  const bool free = bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
  close(fd);
  return free;
}

// The `run` line of a role in deploy/system.toml.
std::vector<std::string> run_line(const std::string& role) {
  std::ifstream file("deploy/system.toml");
  std::string line;
  bool in_role = false;
  while (std::getline(file, line)) {
    if (line.starts_with("[")) in_role = line == "[roles." + role + "]";
    if (!in_role || !line.starts_with("run = \"")) continue;
    std::istringstream words(line.substr(7, line.rfind('"') - 7));
    std::vector<std::string> result;
    for (std::string word; words >> word;) result.push_back(word);
    return result;
  }
  throw std::runtime_error("no role " + role + " in deploy/system.toml");
}

}  // namespace

Deployment::Deployment(Record& record, const std::vector<std::string>& side_services, unsigned edges)
    : record_(record) {
  std::string pattern = (std::filesystem::temp_directory_path() / "review-2-XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr) throw std::runtime_error("no temporary folder");
  folder_ = pattern;
  std::mt19937 random(std::random_device{}());
  for (unsigned tries = 0;; ++tries) {
    if (tries == 100) throw std::runtime_error("no free ports");
    net_ = 1 + random() % 250;
    internal_port_ = kFirstInternalPort + net_ * kInternalPorts;
    const std::string first = "127." + std::to_string(net_) + ".0.1";
    bool free = is_free(first, kControlPort) && is_free(first, internal_port_);
    for (unsigned port = 0; port < kInternalPorts; ++port)
      free = free && is_free("127.0.0.1", internal_port_ + port);
    if (free && take_guard("127." + std::to_string(net_) + ".0.250")) break;
  }
  const std::string prefix = "127." + std::to_string(net_) + ".0.";
  const char* const zones[] = {"lima-sur", "lima-norte", "callao", "ate"};
  for (unsigned i = 0; i < kCores; ++i)
    processes_.push_back({"core-" + std::to_string(i + 1), "control", "core", prefix + std::to_string(1 + i),
                          zones[i % 4], "", 0, 0});
  for (unsigned i = 0; i < edges; ++i) {
    const std::string ip = prefix + std::to_string(kFirstEdge + i);
    processes_.push_back({"ingress-" + std::to_string(i + 1), "ingress", "edge", ip, zones[i], "", i, 0});
    processes_.push_back({"agent-" + std::to_string(i + 1), "agent", "edge", ip, zones[i], "", i, 0});
  }
  for (unsigned i = 0; edges > 1 && i < kCores; ++i)
    forwarders_.push_back(std::make_unique<Forwarder>(prefix + std::to_string(1 + i),
                                                      internal_port_ + kPortsOfSecondEdge, internal_port_));
  for (unsigned i = 0; i < side_services.size(); ++i)
    processes_.push_back({"side-" + std::to_string(i + 1), "worker-agent", "side",
                          prefix + std::to_string(30 + i), zones[i % 4], side_services[i], 0, 0});
  for (const Process& process : processes_) std::filesystem::create_directories(folder_ / process.name);
}

Deployment::~Deployment() {
  for (Process& process : processes_) {
    if (process.pid <= 0) continue;
    kill(process.pid, SIGKILL);
    waitpid(process.pid, nullptr, 0);
  }
  if (guard_ >= 0) close(guard_);
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

// Binds a socket that keeps other plays at the same time from the same addresses.
bool Deployment::take_guard(const std::string& ip) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(kControlPort);
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 && listen(fd, 1) == 0) {
    guard_ = fd;
    return true;
  }
  close(fd);
  return false;
}

Process& Deployment::find(const std::string& name) {
  for (Process& process : processes_)
    if (process.name == name) return process;
  throw std::runtime_error("no process " + name);
}

std::vector<std::string> Deployment::control_addresses() const {
  std::vector<std::string> addresses;
  for (const Process& process : processes_)
    if (process.role == "control") addresses.push_back(process.ip + ":" + std::to_string(kControlPort));
  return addresses;
}

std::string Deployment::front(unsigned edge) const {
  return "127." + std::to_string(net_) + ".0." + std::to_string(kFirstEdge + edge) + ":" +
         std::to_string(kFrontPort);
}

std::string Deployment::ready(unsigned edge) const {
  return "127." + std::to_string(net_) + ".0." + std::to_string(kFirstEdge + edge) + ":" +
         std::to_string(kReadyPort);
}

std::string Deployment::side_control(unsigned index) const {
  return "127." + std::to_string(net_) + ".0." + std::to_string(30 + index) + ":" +
         std::to_string(kControlPort);
}

std::string Deployment::settings_of(const Process& process) const {
  std::ostringstream text;
  const bool core = process.machine == "core";
  const unsigned first_port = internal_port_ + (process.edge > 0 ? kPortsOfSecondEdge : 0);
  text << "node_name = \"" << process.name << "\"\nrole = \"" << process.role << "\"\nmachine_class = \""
       << process.machine << "\"\nip = \"" << process.ip << "\"\nzone = \"" << process.zone
       << "\"\nregion = \"lima\"\ninternal_ports = [" << first_port << ","
       << internal_port_ + kInternalPorts - 1 << "]\nseeds = [";
  const std::vector<std::string> seeds = control_addresses();
  for (std::size_t i = 0; i < 3 && i < seeds.size(); ++i) text << (i ? "," : "") << '"' << seeds[i] << '"';
  text << "]\nbootstrap = " << (first_start_ ? "true" : "false")
       << "\ncounts_for_quorum = " << (core ? "true" : "false")
       << "\ndiscovery = \"local\"\nentry_mode = \"vip\"\nheartbeat_ms = 1500\n"
          "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\"]\n"
          "commands = \"heartbeat\"\n";
  if (core) text << "data_dir = \"" << (folder_ / process.name / "data").string() << "\"\n";
  if (process.role == "ingress") text << "serves = [\"edge\"]\n";
  if (process.role == "agent") text << "serves = []\n";
  if (process.role == "control") text << "serves = [\"control\"]\n";
  if (process.role == "worker-agent") {
    text << "serves = [\"side\"]\napp = \"" << process.ip << ":" << kAppPort << "\"\nbackend = \""
         << process.backend << "\"\n";
  }
  text << "[zones]\nlima-sur = \"lima\"\nlima-norte = \"lima\"\ncallao = \"lima\"\nate = \"lima\"\n"
          "[bind_addrs]\n";
  if (process.role == "ingress")
    text << "front = \"" << front(process.edge) << "\"\nready = \"" << ready(process.edge) << "\"\n";
  else if (process.role != "agent")
    text << "control = \"" << process.ip << ":" << kControlPort << "\"\n";
  text << "[limits]\ncpu_share = 0.5\ncores = 1\nmemory_mb = 256\nmax_fds = 4096\nlink_mbps = 1000.0\n"
          "disk_mb = "
       << (core ? 128 : 0)
       << "\n[fault_tolerance]\nmachines = 1\nzones = 0\nregions = 0\n"
          "[bounds]\nseed_lag_s = 3\naddr_reuse_s = 2\ncontact_ms = 3000\nack_timeout_ms = 4000\n"
          "catch_up_s = 4\ndrain_timeout_ms = 2000\ngrace_period_s = 6\nloss_slack_ms = 200\n"
          "config_apply_ms = 2000\nrollback_slack_ms = 250\nmax_stretch_ms = 5000\nrecovery_s = 12\n"
          "hold_max_ms = 10000\nstop_ms = 400\ngang_ms = 3000\ncancel_ms = 3000\nvisible_ms = 3000\n"
          "early_ms = 250\nfinish_s = 14\nstatus_s = 120\nfar_x = 1.5\nsave_s = 2\nrestore_ms = 100\n";
  return text.str();
}

void Deployment::start_all() {
  for (const Process& process : processes_) start(process.name);
  first_start_ = false;
}

void Deployment::start(const std::string& name) {
  Process& process = find(name);
  const std::vector<std::string> words = run_line(process.role);
  if (access(words.at(0).c_str(), X_OK) != 0) throw std::runtime_error(words.at(0) + " isn't built");
  const std::string settings = (folder_ / name / "boot.toml").string();
  std::ofstream(settings) << settings_of(process);
  const std::string log = (folder_ / name / "log").string();
  const char* const path = getenv("PATH");
  const char* const home = getenv("HOME");
  const std::string variables[] = {std::string("PATH=") + (path ? path : ""),
                                   std::string("HOME=") + (home ? home : "/"), "LANG=C.UTF-8",
                                   "WINCHHALL_NODE_FILE=" + settings};
  std::vector<char*> arguments;
  std::vector<char*> environment;
  for (const std::string& word : words) arguments.push_back(const_cast<char*>(word.c_str()));
  for (const std::string& variable : variables) environment.push_back(const_cast<char*>(variable.c_str()));
  arguments.push_back(nullptr);
  environment.push_back(nullptr);
  const pid_t pid = fork();
  if (pid < 0) throw std::runtime_error("fork failed");
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);  // none outlives the case, however that ends
    const int file = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(file, STDOUT_FILENO);
    dup2(file, STDERR_FILENO);
    execve(arguments[0], arguments.data(), environment.data());
    _exit(127);
  }
  process.pid = pid;
  record_.add("start " + name + " (" + words.at(0) + " " + process.role + ") on " + process.ip);
}

void Deployment::signal(const std::string& name, int number) {
  Process& process = find(name);
  if (process.pid <= 0) return;
  kill(process.pid, number);
  record_.add("signal " + std::to_string(number) + " to " + name);
  if (number != SIGKILL) return;
  waitpid(process.pid, nullptr, 0);
  process.pid = 0;
}

void Deployment::wipe(const std::string& name) {
  std::filesystem::remove_all(folder_ / name / "data");
  record_.add(name + " has lost its disk");
}

bool Deployment::all_run() {
  for (Process& process : processes_) {
    if (process.pid <= 0) continue;
    if (waitpid(process.pid, nullptr, WNOHANG) == process.pid) {
      record_.add("process " + process.name + " has ended by itself");
      process.pid = 0;
      return false;
    }
  }
  return true;
}

}  // namespace review
