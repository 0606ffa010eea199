#include "testbed/cluster/fake_leaf.hpp"

#include <boost/json.hpp>

namespace winchhall::testbed::cluster {

namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

constexpr milliseconds kHeartbeatPause{500};
constexpr milliseconds kPauseAfterEnd{50};
constexpr milliseconds kTurn{5};

// Whole number of a JSON value; 0 for anything else.
std::uint64_t number_of(const json::value* value) {
  if (!value) return 0;
  if (const auto* number = value->if_int64()) return static_cast<std::uint64_t>(*number);
  if (const auto* number = value->if_uint64()) return *number;
  return 0;
}

}  // namespace

FakeLeaf::FakeLeaf(FakeLeafOptions options) : options_(std::move(options)), thread_([this] { live(); }) {}

FakeLeaf::~FakeLeaf() { crash(); }

void FakeLeaf::crash() {
  stopping_ = true;
  if (thread_.joinable()) thread_.join();
}

std::vector<FakeLeafTaskStart> FakeLeaf::starts() const {
  const std::lock_guard lock(starts_mutex_);
  return starts_;
}

void FakeLeaf::live() {
  Clock::time_point next = Clock::now();
  while (!stopping_) {
    const Clock::time_point now = Clock::now();
    const std::size_t ended_before = ended_.size();
    end_due_tasks(now);
    if (ended_.size() > ended_before) next = std::min(next, now + kPauseAfterEnd);
    if (now < next) {
      std::this_thread::sleep_for(kTurn);
      continue;
    }
    HttpCall call;
    call.address = options_.agent;
    call.method = "POST";
    call.target = "/v1/Instances.Heartbeat/" + options_.id;
    call.body = heartbeat_body();
    call.timeout = milliseconds(1000);
    next = Clock::now() + apply_heartbeat_response(testbed::cluster::send_http_call(call), now);
  }
}

void FakeLeaf::end_due_tasks(Clock::time_point now) {
  std::vector<std::string> due;
  const bool lapsed = now >= lease_expires_at_;
  for (const auto& [task, running] : running_) {
    if (lapsed || now >= running.ends) due.push_back(task);
  }
  for (const std::string& task : due) end_task(task, lapsed ? "lapsed" : "done", now);
}

void FakeLeaf::end_task(const std::string& task, const std::string& how, Clock::time_point now) {
  const auto found = running_.find(task);
  if (found == running_.end()) return;
  ended_.push_back({++last_number_, task, found->second.run, how});
  const std::lock_guard lock(starts_mutex_);
  FakeLeafTaskStart& start = starts_[found->second.start_index];
  start.ended = now;
  start.done = how == "done";
  running_.erase(found);
}

std::string FakeLeaf::heartbeat_body() {
  json::array running;
  for (const auto& [task, state] : running_) running.push_back(json::array{task, state.run, "", 50});
  json::array finished;
  for (const Ended& end : ended_) finished.push_back(json::array{end.number, end.task, end.run, end.how, ""});
  json::object body;
  body["backend"] = options_.service;
  body["address"] = "127.0.0.1:1";
  body["zone"] = options_.zone;
  body["version"] = "v1";
  body["slots"] = 8;
  body["state"] = "ready";
  body["capacity"] = json::object{{"cpu", options_.cpu}, {"mem_mb", options_.mem_mb}, {"gpu", 0}};
  body["labels"] = json::array{"a", "r1-1"};
  body["sequence"] = ++sequence_;
  body["running"] = std::move(running);
  body["finished"] = std::move(finished);
  return json::serialize(body);
}

milliseconds FakeLeaf::apply_heartbeat_response(const HttpCallResponse& answer, Clock::time_point sent) {
  boost::system::error_code error;
  const json::value value = json::parse(answer.body, error);
  const bool in_time = Clock::now() - sent < milliseconds(1000);
  if (answer.status != 200 || error || !value.is_object() || !in_time) return kHeartbeatPause;
  const json::object& orders = value.as_object();
  const Clock::time_point now = Clock::now();
  const std::uint64_t token = number_of(orders.if_contains("fence_token"));
  if (token < fence_token_) return kHeartbeatPause;
  fence_token_ = token;
  lease_expires_at_ =
      std::max(lease_expires_at_, sent + milliseconds(number_of(orders.if_contains("hold_ms"))));
  const std::uint64_t last_seen = number_of(orders.if_contains("last_seen"));
  std::erase_if(ended_, [last_seen](const Ended& end) { return end.number <= last_seen; });
  if (const json::value* stops = orders.if_contains("stopped_at")) {
    for (const json::value& stop : stops->as_array()) {
      const std::string task(stop.at(0).as_string());
      highest_run_[task] = std::max(highest_run_[task], number_of(&stop.at(1)));
      end_task(task, "stopped", now);
    }
  }
  if (const json::value* starts = orders.if_contains("started_at")) {
    for (const json::value& order : starts->as_array()) {
      start(std::string(order.at(0).as_string()), number_of(&order.at(1)), now);
    }
  }
  const json::value* retry_after = orders.if_contains("retry_after_ms");
  return retry_after ? milliseconds(number_of(retry_after)) : kHeartbeatPause;
}

void FakeLeaf::start(const std::string& task, std::uint64_t run, Clock::time_point now) {
  if (run <= highest_run_[task] || now >= lease_expires_at_) return;
  highest_run_[task] = run;
  const std::lock_guard lock(starts_mutex_);
  running_[task] = {run, now + options_.task_time, starts_.size()};
  starts_.push_back({task, run, now, now, false});
}

}  // namespace winchhall::testbed::cluster
