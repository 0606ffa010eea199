#include "testbed/cluster/fake_leaf.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <utility>

#include "testbed/cluster/records_service.hpp"

namespace winchhall::testbed::cluster {

namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

constexpr milliseconds kHeartbeatInterval{500};
constexpr milliseconds kHeartbeatDelayAfterEnd{50};
constexpr milliseconds kPollInterval{5};
constexpr milliseconds kCallTimeout{1000};
constexpr milliseconds kFailureTime{20};    // from the start of a task that fails to its end
constexpr milliseconds kMaxLateness{5000};  // of a late heartbeat
constexpr std::int64_t kMaxPercent = 100;
constexpr std::chrono::steady_clock::duration kTick{1};

// Value of a JSON integer; 0 for anything else.
std::uint64_t to_number(const json::value* value) {
  if (!value) return 0;
  if (const auto* number = value->if_int64()) return static_cast<std::uint64_t>(*number);
  if (const auto* number = value->if_uint64()) return *number;
  return 0;
}

}  // namespace

FakeLeaf::FakeLeaf(FakeLeafOptions options)
    : options_(std::move(options)), random_(options_.seed), thread_([this] { run(); }) {}

FakeLeaf::~FakeLeaf() { crash(); }

void FakeLeaf::crash() {
  stopping_ = true;
  if (!thread_.joinable()) return;
  thread_.join();
  const Clock::time_point now = std::min(Clock::now(), lease_expires_at_);
  const std::lock_guard lock(starts_mutex_);
  for (const auto& [task, running] : running_) {
    FakeLeafTaskStart& start = starts_[running.start_index];
    start.ended = std::max(now, start.began);
    start.running = false;
  }
  running_.clear();
}

std::vector<FakeLeafTaskStart> FakeLeaf::starts() const {
  const std::lock_guard lock(starts_mutex_);
  return starts_;
}

void FakeLeaf::run() {
  Clock::time_point next = Clock::now();
  Clock::time_point waits_until = next;  // for the response to a heartbeat that is late
  while (!stopping_) {
    const Clock::time_point now = Clock::now();
    const std::size_t ended_before = ended_.size();
    end_due_tasks(now);
    if (ended_.size() > ended_before)
      next = std::max(waits_until, std::min(next, now + kHeartbeatDelayAfterEnd));
    if (now < next) {
      std::this_thread::sleep_for(kPollInterval);
      continue;
    }
    HttpCall call = make_heartbeat_call();
    if (draw_late()) {
      options_.late_heartbeats->deliver_later(std::move(call), random_time(kCallTimeout, kMaxLateness));
      next = waits_until = now + kCallTimeout;
      continue;
    }
    next = Clock::now() + apply_heartbeat_response(testbed::cluster::send_http_call(call), now);
  }
}

HttpCall FakeLeaf::make_heartbeat_call() {
  HttpCall call;
  call.address = options_.agent;
  call.method = "POST";
  call.target = "/v1/Instances.Heartbeat/" + options_.id;
  call.body = heartbeat_body();
  call.timeout = kCallTimeout;
  return call;
}

bool FakeLeaf::draw_late() {
  return options_.late_heartbeats != nullptr && std::bernoulli_distribution(options_.late_share)(random_);
}

void FakeLeaf::end_due_tasks(Clock::time_point now) {
  std::vector<std::string> due;
  const bool lease_expired = now >= lease_expires_at_;
  if (lease_expired && !running_.empty()) ++lease_expiries_;
  for (const auto& [task, running] : running_) {
    if (lease_expired || now >= running.ends) due.push_back(task);
  }
  for (const std::string& task : due) {
    if (lease_expired) {
      end_task(task, "lapsed", lease_expires_at_);
    } else {
      end_task(task, outcome_of(running_.at(task)), now);
    }
  }
}

std::string FakeLeaf::outcome_of(const RunningTask& running) {
  if (running.stopping) return "stopped";
  return running.failing ? "failed" : "done";
}

void FakeLeaf::end_task(const std::string& task, const std::string& outcome, Clock::time_point now) {
  const auto found = running_.find(task);
  if (found == running_.end()) return;
  ended_.push_back(
      {++last_end_number_, task, found->second.run, outcome, found->second.start_index, lease_expiries_});
  const std::lock_guard lock(starts_mutex_);
  FakeLeafTaskStart& start = starts_[found->second.start_index];
  start.ended = std::max(now, start.began);
  start.done = outcome == "done";
  start.running = false;
  running_.erase(found);
}

std::string FakeLeaf::heartbeat_body() {
  json::array running;
  const Clock::time_point now = Clock::now();
  for (const auto& [task, state] : running_) {
    const auto elapsed = (now - state.began) * kMaxPercent / std::max(state.ends - state.began, kTick);
    running.push_back(json::array{task, state.run, "", std::clamp<std::int64_t>(elapsed, 0, kMaxPercent)});
  }
  json::array finished;
  for (const EndedTask& end : ended_)
    finished.push_back(json::array{end.number, end.task, end.run, end.outcome, ""});
  json::object body;
  body["backend"] = options_.service;
  body["address"] = "127.0.0.1:1";
  body["zone"] = options_.zone;
  body["version"] = "v1";
  body["slots"] = 8;
  body["state"] = "ready";
  body["capacity"] = json::object{{"cpu", options_.cpu}, {"mem_mb", options_.mem_mb}, {"gpu", 0}};
  body["labels"] = json::array{"a", "r1-1"};
  if (!options_.group.empty())
    body["labels"].as_array().emplace(body["labels"].as_array().begin(), options_.group);
  body["sequence"] = ++sequence_;
  body["clock_ms"] = std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count();
  body["running"] = std::move(running);
  body["finished"] = std::move(finished);
  return json::serialize(body);
}

milliseconds FakeLeaf::apply_heartbeat_response(const HttpCallResponse& response, Clock::time_point sent_at) {
  boost::system::error_code error;
  const json::value value = json::parse(response.body, error);
  const bool in_time = Clock::now() - sent_at < kCallTimeout;
  if (response.status != 200 || error || !value.is_object() || !in_time) return kHeartbeatInterval;
  const json::object& orders = value.as_object();
  const Clock::time_point now = Clock::now();
  const std::uint64_t token = to_number(orders.if_contains("fence_token"));
  if (token < fence_token_) return kHeartbeatInterval;
  fence_token_ = token;
  end_due_tasks(now);  // the lease may have expired while the response was awaited
  lease_expires_at_ =
      std::max(lease_expires_at_, sent_at + milliseconds(to_number(orders.if_contains("hold_ms"))));
  acknowledge_ends(to_number(orders.if_contains("last_seen")));
  apply_stops(orders.if_contains("stopped_at"), now);
  apply_starts(orders.if_contains("started_at"), now);
  const json::value* retry_after = orders.if_contains("retry_after_ms");
  return retry_after ? milliseconds(to_number(retry_after)) : kHeartbeatInterval;
}

void FakeLeaf::acknowledge_ends(std::uint64_t last_seen) {
  const std::lock_guard lock(starts_mutex_);
  std::erase_if(ended_, [&](const EndedTask& end) {
    if (end.number > last_seen) return false;
    if (end.outcome == "done" && end.lease_expiries == lease_expiries_)
      starts_[end.start_index].done_recorded = true;
    return true;
  });
}

milliseconds FakeLeaf::random_time(milliseconds min_time, milliseconds max_time) {
  if (max_time <= min_time) return min_time;
  return milliseconds(
      std::uniform_int_distribution<milliseconds::rep>(min_time.count(), max_time.count())(random_));
}

void FakeLeaf::apply_stops(const json::value* stops, Clock::time_point now) {
  if (!stops) return;
  for (const json::value& stop : stops->as_array()) {
    const std::string task(stop.at(0).as_string());
    highest_run_[task] = std::max(highest_run_[task], to_number(&stop.at(1)));
    const auto found = running_.find(task);
    if (found == running_.end() || found->second.run > to_number(&stop.at(1)) || found->second.stopping)
      continue;
    found->second.stopping = true;
    found->second.ends = now + random_time(milliseconds(0), options_.max_stop_time);
    if (found->second.ends <= now) end_task(task, "stopped", now);
  }
}

void FakeLeaf::apply_starts(const json::value* starts, Clock::time_point now) {
  if (!starts) return;
  for (const json::value& order : starts->as_array()) {
    const std::string spec(order.at(2).as_string());
    start(std::string(order.at(0).as_string()), to_number(&order.at(1)), spec, now);
  }
}

FakeLeaf::Clock::time_point FakeLeaf::draw_end(const std::string& spec, bool failing, Clock::time_point now) {
  if (failing) return now + kFailureTime;
  if (spec == kLastingSpec) return Clock::time_point::max();
  return now + random_time(options_.task_time, options_.max_task_time);
}

void FakeLeaf::start(const std::string& task, std::uint64_t run, const std::string& spec,
                     Clock::time_point now) {
  if (run <= highest_run_[task] || now >= lease_expires_at_) return;
  highest_run_[task] = run;
  const std::lock_guard lock(starts_mutex_);
  const bool failing = now.time_since_epoch().count() < fails_until_;
  running_[task] = {run, now, draw_end(spec, failing, now), false, failing, starts_.size()};
  starts_.push_back({task, run, now, now});
}

}  // namespace winchhall::testbed::cluster
