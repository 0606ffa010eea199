#include "testbed/cluster/soak_clients.hpp"

#include <random>

namespace winchhall::testbed::cluster {

namespace {

using std::chrono::milliseconds;

constexpr unsigned kHttpGone = 410;
constexpr std::size_t kObserversOfEdge = 3;  // one waits while another sees the moment after a restart
constexpr unsigned kSoakMaxRetries = 100;    // leaves that fail all that they start must not end the jobs
constexpr milliseconds kClientRetryInterval{50};
constexpr milliseconds kPausePollInterval{20};
constexpr std::chrono::seconds kMaxCompletionTime{60};  // of a change, after all faults have ended
constexpr unsigned kClientIdShift = 32;                 // keeps the job numbers of different clients distinct

milliseconds random_pause(std::mt19937_64& random, int min_ms, int max_ms) {
  return milliseconds(std::uniform_int_distribution<int>(min_ms, max_ms)(random));
}

const std::string kLastingJob =
    R"({"spec":")" + std::string(kLastingSpec) +
    R"(","stages":[{"count":1,"cpu":100,"mem_mb":10,"estimated_ms":1000,"long_running":true}]})";

}  // namespace

SoakClients::EdgeConnections::EdgeConnections(const std::vector<std::string>& addresses, std::size_t first)
    : addresses_(addresses), connections_(addresses.size()), used_(first % addresses.size()) {}

HttpCallResponse SoakClients::EdgeConnections::send(const std::string& method, const std::string& job,
                                                    const std::string& body) {
  return connections_[used_].send(job_call(addresses_[used_], method, job, body));
}

void SoakClients::EdgeConnections::send_and_give_up(const std::string& job, const std::string& body,
                                                    milliseconds wait) {
  HttpCall call = job_call(addresses_[used_], "POST", job, body);
  call.timeout = wait;
  connections_[used_].send(call);
}

// Body of a random job: one or two stages of one to five tasks each. Some jobs need a certain leaf.
std::string SoakClients::random_job(std::mt19937_64& random) const {
  const auto draw = [&random](int min, int max) {
    return std::to_string(std::uniform_int_distribution<int>(min, max)(random));
  };
  const auto stage = [&](const std::string& rest) {
    return R"({"count":)" + draw(1, 5) + R"(,"cpu":500,"mem_mb":100,"estimated_ms":)" + draw(500, 3000) +
           rest + "}";
  };
  constexpr unsigned kNeedsLeaf = 5;  // one in so many jobs
  const std::string group = R"(,"requirements":"g-)" + std::to_string(random() % groups_) + '"';
  std::string stages = stage(random() % kNeedsLeaf == 0 ? group : "");
  if (random() % 2 == 0) stages += "," + stage(R"(,"depends_on":[0])");
  return R"({"spec":"x","stages":[)" + stages + "]}";
}

SoakClients::SoakClients(std::vector<std::string> front_addresses, std::vector<std::string> control_addresses,
                         unsigned clients, unsigned groups, std::uint64_t seed)
    : front_addresses_(std::move(front_addresses)),
      control_addresses_(std::move(control_addresses)),
      groups_(groups) {
  threads_.emplace_back([this, seed] { run_operator(seed); });
  for (std::size_t number = 0; number < kObserversOfEdge * front_addresses_.size(); ++number) {
    const std::size_t edge = number % front_addresses_.size();
    threads_.emplace_back([this, edge, seed, number] { run_observer(edge, seed + number); });
  }
  for (unsigned number = 1; number <= clients; ++number)
    threads_.emplace_back([this, number, seed] { run_client(number, seed + number); });
}

SoakClients::~SoakClients() { stop(); }

void SoakClients::stop() {
  stopping_ = true;
  for (std::thread& thread : threads_)
    if (thread.joinable()) thread.join();
}

std::vector<std::string> SoakClients::accepted_jobs() const {
  const std::lock_guard lock(mutex_);
  return accepted_;
}

std::vector<CancelledJob> SoakClients::cancelled_jobs() const {
  const std::lock_guard lock(mutex_);
  return cancelled_;
}

std::uint64_t SoakClients::acknowledged_version() const {
  const std::lock_guard lock(mutex_);
  return acknowledged_version_;
}

std::vector<std::string> SoakClients::acknowledged_routes() const {
  const std::lock_guard lock(mutex_);
  return acknowledged_routes_;
}

unsigned SoakClients::queue_moves() const {
  const std::lock_guard lock(mutex_);
  return queue_moves_;
}

unsigned SoakClients::repeated_submissions() const {
  const std::lock_guard lock(mutex_);
  return repeated_submissions_;
}

std::vector<std::string> SoakClients::faults() const {
  const std::lock_guard lock(mutex_);
  return faults_;
}

void SoakClients::pause(milliseconds duration) const {
  const auto end = std::chrono::steady_clock::now() + duration;
  while (!stopping_ && std::chrono::steady_clock::now() < end)
    std::this_thread::sleep_for(kPausePollInterval);
}

void SoakClients::run_client(unsigned number, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  EdgeConnections edges(front_addresses_, number);
  std::uint64_t next_job = std::uint64_t{number} << kClientIdShift;
  const std::string lasting = number == 1 ? job_id(++next_job) : "";
  if (!lasting.empty()) edges.send("POST", lasting, kLastingJob);
  while (!stopping_) {
    const std::string body = random_job(random);
    if (random() % 4 == 0) abandon(edges, job_id(++next_job), body);
    if (!submit(edges, job_id(++next_job), body)) break;
    for (unsigned queries = random() % 4; queries > 0 && !stopping_; --queries) {
      pause(random_pause(random, 50, 500));
      const std::vector<std::string> accepted = accepted_jobs();
      query(edges, accepted[random() % accepted.size()]);
    }
    if (random() % 2 == 0) {
      pause(random_pause(random, 0, 3000));
      submit_again(edges, job_id(next_job), body);
    }
    pause(random_pause(random, 100, 1500));
  }
  if (!lasting.empty()) cancel(edges, lasting);
}

void SoakClients::run_observer(std::size_t edge, std::uint64_t seed) {
  constexpr milliseconds kInterval{20};
  std::mt19937_64 random(seed);
  const std::vector<std::string> addresses{front_addresses_[edge]};
  EdgeConnections connection(addresses, 0);
  while (!stopping_) {
    std::this_thread::sleep_for(kInterval);
    const std::vector<std::string> accepted = accepted_jobs();
    if (!accepted.empty()) query(connection, accepted[random() % accepted.size()]);
  }
}

bool SoakClients::submit(EdgeConnections& edges, const std::string& job, const std::string& body) {
  while (!stopping_) {
    if (edges.send("POST", job, body).status == kHttpOk) {
      const std::lock_guard lock(mutex_);
      accepted_.push_back(job);
      return true;
    }
    edges.use_next();
    pause(kClientRetryInterval);
  }
  return false;
}

void SoakClients::abandon(EdgeConnections& edges, const std::string& job, const std::string& body) {
  constexpr milliseconds kPatience{400};
  edges.send_and_give_up(job, body, kPatience);
  edges.use_next();
  cancel(edges, job);
}

void SoakClients::cancel(EdgeConnections& edges, const std::string& job) {
  const auto limit = std::chrono::steady_clock::now() + kMaxCompletionTime;
  while (std::chrono::steady_clock::now() < limit) {
    const unsigned status = edges.send("DELETE", job).status;
    const std::lock_guard lock(mutex_);
    if (status == kHttpOk || status == kHttpGone) {
      cancelled_.push_back({job, std::chrono::steady_clock::now()});
      return;
    }
    edges.use_next();
  }
  const std::lock_guard lock(mutex_);
  faults_.push_back("the cancel of job " + job + " is not answered");
}

void SoakClients::query(EdgeConnections& edges, const std::string& job) {
  bool was_completed = false;
  {
    const std::lock_guard lock(mutex_);
    was_completed = completed_.contains(job);
  }
  const HttpCallResponse response = edges.send("GET", job);
  if (response.status == 0) edges.use_next();
  const bool is_completed =
      response.status == kHttpOk && response.body.find("completed") != std::string::npos;
  const std::lock_guard lock(mutex_);
  if (response.status == kHttpGone) faults_.push_back("job " + job + " was accepted and is unknown");
  if (response.status == kHttpOk && was_completed && !is_completed)
    faults_.push_back("job " + job + " was completed and is " + response.body);
  if (is_completed) completed_.insert(job);
}

void SoakClients::submit_again(EdgeConnections& edges, const std::string& job, const std::string& body) {
  edges.use_next();
  edges.send("POST", job, body);
  const std::lock_guard lock(mutex_);
  ++repeated_submissions_;
}

void SoakClients::run_operator(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  bool acknowledged = acknowledge(first_configuration(kSoakMaxRetries));
  while (acknowledged && !stopping_) {
    pause(random_pause(random, 300, 4000));
    if (!stopping_) acknowledged = make_change(random);
  }
  if (acknowledged) return;
  const std::lock_guard lock(mutex_);
  faults_.emplace_back("a change of the configuration is not acknowledged");
}

bool SoakClients::make_change(std::mt19937_64& random) {
  if (archive_stays_deleted_)
    return archive_exists_ ? retire_archive() : acknowledge(add_route(acknowledged_version()));
  switch (random() % 6) {
    case 0:
    case 1:
      return move_queue(random);
    case 2:  // there and back, faster than some agents learn of it
      return move_queue(random) && move_queue(random);
    case 3:
      return archive_exists_ && queue_service_ == kRecordsService ? remove_archive() : move_queue(random);
    default:
      return acknowledge(add_route(acknowledged_version()));
  }
}

bool SoakClients::remove_archive() {
  if (!acknowledge(delete_archive(acknowledged_version()))) return false;
  archive_exists_ = false;
  return true;
}

bool SoakClients::retire_archive() {
  if (!acknowledge(route_queue_to(acknowledged_version(), kRecordsService, kSoakMaxRetries))) return false;
  queue_service_ = kRecordsService;
  return remove_archive();
}

bool SoakClients::move_queue(std::mt19937_64& random) {
  const bool at_once = random() % 2 == 0;
  if (!at_once) {
    if (!acknowledge(remove_queue(acknowledged_version()))) return false;
    pause(random_pause(random, 0, 1500));
  }
  queue_service_ = queue_service_ == kArchiveService ? kRecordsService : kArchiveService;
  if (!acknowledge(route_queue_to(acknowledged_version(), queue_service_, kSoakMaxRetries))) return false;
  archive_exists_ = true;
  const std::lock_guard lock(mutex_);
  ++queue_moves_;
  return true;
}

bool SoakClients::acknowledge(const ConfigurationChange& change) {
  auto limit = std::chrono::steady_clock::time_point::max();
  for (std::size_t turn = 0; std::chrono::steady_clock::now() < limit; ++turn) {
    const bool must_end = stopping_ && limit == std::chrono::steady_clock::time_point::max();
    if (must_end) limit = std::chrono::steady_clock::now() + kMaxCompletionTime;
    const std::string& control = control_addresses_[turn % control_addresses_.size()];
    if (acknowledges(send_http_call(configuration_call(change, control)), change)) {
      const std::lock_guard lock(mutex_);
      acknowledged_version_ = change.version;
      if (!change.route.empty()) acknowledged_routes_.push_back(change.route);
      return true;
    }
    std::this_thread::sleep_for(kClientRetryInterval);
  }
  return false;
}

}  // namespace winchhall::testbed::cluster
