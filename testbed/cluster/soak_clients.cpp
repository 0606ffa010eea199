#include "testbed/cluster/soak_clients.hpp"

#include <random>

namespace winchhall::testbed::cluster {

namespace {

using std::chrono::milliseconds;

constexpr unsigned kHttpGone = 410;
constexpr milliseconds kClientRetryInterval{50};
constexpr milliseconds kPausePollInterval{20};
constexpr unsigned kClientIdShift = 32;  // keeps the job numbers of different clients distinct

milliseconds random_pause(std::mt19937_64& random, int min_ms, int max_ms) {
  return milliseconds(std::uniform_int_distribution<int>(min_ms, max_ms)(random));
}

// Body of a random job: one or two stages of one to five tasks each.
std::string random_job(std::mt19937_64& random) {
  const auto draw = [&random](int min, int max) {
    return std::to_string(std::uniform_int_distribution<int>(min, max)(random));
  };
  const auto stage = [&](const std::string& rest) {
    return R"({"count":)" + draw(1, 5) + R"(,"cpu":500,"mem_mb":100,"estimated_ms":)" + draw(500, 3000) +
           rest + "}";
  };
  std::string stages = stage("");
  if (random() % 2 == 0) stages += "," + stage(R"(,"depends_on":[0])");
  return R"({"spec":"x","stages":[)" + stages + "]}";
}

}  // namespace

SoakClients::SoakClients(std::string front_address, std::vector<std::string> control_addresses,
                         unsigned clients, std::uint64_t seed)
    : front_address_(std::move(front_address)), control_addresses_(std::move(control_addresses)) {
  threads_.emplace_back([this, seed] { run_operator(seed); });
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

ConfigurationChange SoakClients::acknowledged_change() const {
  const std::lock_guard lock(mutex_);
  return acknowledged_;
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
  HttpConnection connection;
  std::uint64_t next_job = std::uint64_t{number} << kClientIdShift;
  while (!stopping_) {
    const std::string body = random_job(random);
    if (!submit(connection, job_id(++next_job), body)) return;
    for (unsigned queries = random() % 4; queries > 0 && !stopping_; --queries) {
      pause(random_pause(random, 50, 500));
      const std::vector<std::string> accepted = accepted_jobs();
      query(connection, accepted[random() % accepted.size()]);
    }
    pause(random_pause(random, 100, 1500));
  }
}

bool SoakClients::submit(HttpConnection& connection, const std::string& job, const std::string& body) {
  while (!stopping_) {
    if (connection.send(job_call(front_address_, "POST", job, body)).status == kHttpOk) {
      const std::lock_guard lock(mutex_);
      accepted_.push_back(job);
      return true;
    }
    pause(kClientRetryInterval);
  }
  return false;
}

void SoakClients::query(HttpConnection& connection, const std::string& job) {
  bool was_completed = false;
  {
    const std::lock_guard lock(mutex_);
    was_completed = completed_.contains(job);
  }
  const HttpCallResponse response = connection.send(job_call(front_address_, "GET", job));
  const bool is_completed =
      response.status == kHttpOk && response.body.find("completed") != std::string::npos;
  const std::lock_guard lock(mutex_);
  if (response.status == kHttpGone) faults_.push_back("job " + job + " was accepted and is unknown");
  if (response.status == kHttpOk && was_completed && !is_completed)
    faults_.push_back("job " + job + " was completed and is " + response.body);
  if (is_completed) completed_.insert(job);
}

void SoakClients::run_operator(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  ConfigurationChange change = first_configuration();
  while (acknowledge(change)) {
    {
      const std::lock_guard lock(mutex_);
      acknowledged_ = change;
    }
    pause(random_pause(random, 300, 4000));
    change = add_route(change.version);
  }
}

bool SoakClients::acknowledge(const ConfigurationChange& change) {
  for (std::size_t turn = 0; !stopping_; ++turn) {
    const std::string& control = control_addresses_[turn % control_addresses_.size()];
    if (acknowledges(send_http_call(configuration_call(change, control)), change)) return true;
    pause(kClientRetryInterval);
  }
  return false;
}

}  // namespace winchhall::testbed::cluster
