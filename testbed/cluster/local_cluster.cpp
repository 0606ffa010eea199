#include "testbed/cluster/local_cluster.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/json.hpp>
#include <cerrno>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <system_error>

#include "testbed/cluster/http_call.hpp"

namespace winchhall::testbed::cluster {

namespace {

constexpr unsigned kControlPort = 8144;
constexpr unsigned kFrontPort = 8149;
constexpr unsigned kReadyPort = 8141;
// Internal ports of the first network. Each network has its own, as agents listen on 127.0.0.1 as well.
constexpr unsigned kFirstInternalPort = 9000;
constexpr unsigned kInternalPorts = 16;
constexpr unsigned kNetworks = 250;  // numbered from 1
constexpr unsigned kFirstEdge = 20;
constexpr unsigned kEdgeProcesses = 2;  // ingress and agent
constexpr unsigned kFirstWorker = 30;
constexpr const char* kSettingsVariable = "WINCHHALL_NODE_FILE";
constexpr std::chrono::milliseconds kStatusTimeout{200};

// Address of a service's leader in a control node's status; empty: none known.
std::string leader_address_in(const boost::json::value& status, const std::string& service) {
  const std::string shard = "service/" + service;
  const boost::json::value* leaders =
      status.is_object() ? status.as_object().if_contains("leaders") : nullptr;
  if (leaders == nullptr || !leaders->is_array()) return {};
  for (const boost::json::value& leader : leaders->as_array()) {
    if (leader.at("shard").as_string() == shard) return leader.at("address").as_string().c_str();
  }
  return {};
}

std::string make_temporary_directory() {
  std::string pattern = (std::filesystem::temp_directory_path() / "winchhall-cluster-XXXXXX").string();
  if (!mkdtemp(pattern.data())) throw std::system_error(errno, std::generic_category(), "mkdtemp");
  return pattern;
}

}  // namespace

LocalCluster::LocalCluster(std::string program, unsigned workers, std::string service, unsigned control_nodes,
                           unsigned edges)
    : program_(std::move(program)),
      service_(std::move(service)),
      control_nodes_(control_nodes),
      edges_(edges),
      directory_(make_temporary_directory()),
      network_(1 + static_cast<unsigned>(getpid()) % kNetworks, kNetworks) {
  const std::string prefix = "127." + std::to_string(network_.number()) + ".0.";
  for (unsigned i = 0; i < control_nodes_; ++i) {
    add({"control-" + std::to_string(i), "control", prefix + std::to_string(1 + i), true});
  }
  for (unsigned i = 0; i < edges_; ++i) {
    const std::string edge_ip = prefix + std::to_string(kFirstEdge + i);
    const std::string number = i == 0 ? "" : "-" + std::to_string(i + 1);
    add({"ingress" + number, "ingress", edge_ip, false, i});
    add({"agent" + number, "agent", edge_ip, false, i});
    if (i > 0) forward_internal_ports(i);
  }
  for (unsigned i = 0; i < workers; ++i) {
    add({"worker-" + std::to_string(i), "worker-agent", prefix + std::to_string(kFirstWorker + i)});
  }
}

LocalCluster::~LocalCluster() {
  for (const LocalProcess& process : processes_) {
    if (process.pid > 0) kill(process.name);
  }
  std::error_code ignored;
  std::filesystem::remove_all(directory_, ignored);
}

void LocalCluster::add(LocalProcess process) {
  std::filesystem::create_directories(directory_of(process.name));
  processes_.push_back(std::move(process));
}

LocalProcess& LocalCluster::find(const std::string& name) {
  for (LocalProcess& process : processes_) {
    if (process.name == name) return process;
  }
  throw std::invalid_argument("no process " + name);
}

unsigned LocalCluster::first_internal_port(unsigned edge) const {
  return kFirstInternalPort + (edge * kNetworks + network_.number()) * kInternalPorts;
}

void LocalCluster::forward_internal_ports(unsigned edge) {
  for (unsigned control = 0; control < control_nodes_; ++control)
    forwarders_.push_back(std::make_unique<TcpForwarder>(
        processes_.at(control).ip, static_cast<std::uint16_t>(first_internal_port(edge)),
        static_cast<std::uint16_t>(first_internal_port(0))));
}

std::string LocalCluster::settings_text(const LocalProcess& process) const {
  const unsigned first_port = first_internal_port(process.edge);
  std::ostringstream text;
  text << "node_name = \"" << process.name << "\"\nrole = \"" << process.command << "\"\nip = \""
       << process.ip << "\"\nzone = \"a\"\nregion = \"r\"\ninternal_ports = [" << first_port << ','
       << first_port + kInternalPorts - 1 << "]\nseeds = [";
  for (unsigned i = 0; i < control_nodes_; ++i) text << (i ? "," : "") << '"' << control_address(i) << '"';
  text << "]\nbootstrap = " << (first_start_ ? "true" : "false")
       << "\ncounts_for_quorum = " << (process.control ? "true" : "false") << "\nheartbeat_ms = 1500\n";
  if (process.control) text << "data_dir = \"" << data_directory_of(process.name).string() << "\"\n";
  if (process.command == "worker-agent") text << "backend = \"" << service_of(process) << "\"\n";
  text << "commands = \"heartbeat\"\n[bind_addrs]\n";
  if (process.command == "ingress") {
    text << "front = \"" << process.ip << ':' << kFrontPort << "\"\nready = \"" << process.ip << ':'
         << kReadyPort << "\"\n";
  } else {
    text << "control = \"" << process.ip << ':' << kControlPort << "\"\n";
  }
  text << "[bounds]\nhold_max_ms = 6000\n";
  return text.str();
}

void LocalCluster::start_all() {
  for (const LocalProcess& process : processes_) start(process.name);
  first_start_ = false;
}

void LocalCluster::set_service(unsigned worker, std::string service) {
  services_[processes_.at(index_of_worker(worker)).name] = std::move(service);
}

const std::string& LocalCluster::service_of(const LocalProcess& process) const {
  const auto own_service = services_.find(process.name);
  return own_service == services_.end() ? service_ : own_service->second;
}

void LocalCluster::set_program(const std::string& name, std::string program) {
  programs_[find(name).name] = std::move(program);
}

void LocalCluster::start(const std::string& name) {
  LocalProcess& process = find(name);
  const auto own_program = programs_.find(name);
  const std::string& program = own_program == programs_.end() ? program_ : own_program->second;
  const std::string settings_file = (directory_of(name) / "settings.toml").string();
  std::ofstream(settings_file) << settings_text(process);
  const std::string log_file = (directory_of(name) / "log").string();
  const pid_t pid = fork();
  if (pid < 0) throw std::system_error(errno, std::generic_category(), "fork");
  if (pid == 0) {
    const int log = open(log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    setenv(kSettingsVariable, settings_file.c_str(), 1);
    execl(program.c_str(), program.c_str(), process.command.c_str(), nullptr);
    _exit(127);
  }
  process.pid = pid;
}

void LocalCluster::kill(const std::string& name) {
  LocalProcess& process = find(name);
  if (process.pid <= 0) return;
  ::kill(process.pid, SIGKILL);
  waitpid(process.pid, nullptr, 0);
  process.pid = 0;
}

void LocalCluster::lose_disk(const std::string& name) {
  std::filesystem::remove_all(data_directory_of(name));
}

int LocalCluster::terminate(const std::string& name) {
  LocalProcess& process = find(name);
  int status = 0;
  ::kill(process.pid, SIGTERM);
  waitpid(process.pid, &status, 0);
  process.pid = 0;
  return status;
}

void LocalCluster::signal(const std::string& name, int number) {
  const LocalProcess& process = find(name);
  if (process.pid > 0) ::kill(process.pid, number);
}

std::optional<int> LocalCluster::poll_end(const std::string& name) {
  LocalProcess& process = find(name);
  int status = 0;
  if (process.pid <= 0 || waitpid(process.pid, &status, WNOHANG) != process.pid) return std::nullopt;
  process.pid = 0;
  return status;
}

std::vector<std::string> LocalCluster::process_names() const {
  std::vector<std::string> names;
  for (const LocalProcess& process : processes_) names.push_back(process.name);
  return names;
}

std::string LocalCluster::leader_of(const std::string& service) const {
  for (unsigned node = 0; node < control_nodes_; ++node) {
    HttpCall call;
    call.address = control_address(node);
    call.target = "/v1/status";
    call.timeout = kStatusTimeout;
    const HttpCallResponse response = send_http_call(call);
    if (response.status != kHttpOk) continue;
    boost::json::error_code unreadable;
    const boost::json::value status = boost::json::parse(response.body, unreadable);
    if (unreadable) continue;
    const std::string address = leader_address_in(status, service);
    for (unsigned index = 0; index < control_nodes_; ++index) {
      const std::string& ip = processes_.at(index).ip;
      if (address.starts_with(ip + ":")) return processes_.at(index).name;
    }
  }
  return {};
}

void LocalCluster::save_logs(const std::filesystem::path& directory) const {
  std::filesystem::create_directories(directory);
  for (const LocalProcess& process : processes_) {
    std::error_code ignored;
    std::filesystem::copy_file(directory_of(process.name) / "log", directory / (process.name + ".log"),
                               std::filesystem::copy_options::overwrite_existing, ignored);
  }
}

std::string LocalCluster::control_address(unsigned index) const {
  return processes_.at(index).ip + ":" + std::to_string(kControlPort);
}

std::string LocalCluster::front_address(unsigned edge) const {
  return processes_.at(control_nodes_ + edge * kEdgeProcesses).ip + ":" + std::to_string(kFrontPort);
}

std::string LocalCluster::ready_address() const {
  return processes_.at(control_nodes_).ip + ":" + std::to_string(kReadyPort);
}

std::string LocalCluster::worker_address(unsigned index) const {
  return processes_.at(index_of_worker(index)).ip + ":" + std::to_string(kControlPort);
}

std::size_t LocalCluster::index_of_worker(unsigned worker) const {
  return control_nodes_ + edges_ * kEdgeProcesses + worker;
}

std::string LocalCluster::log_of(const std::string& name) const {
  std::ifstream file(directory_of(name) / "log");
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

}  // namespace winchhall::testbed::cluster
