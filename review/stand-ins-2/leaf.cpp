#include "leaf.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <sstream>

#include "testbed/cluster/http_call.hpp"

namespace review {
namespace {

namespace json = boost::json;
using winchhall::testbed::cluster::HttpCall;
using winchhall::testbed::cluster::send_http_call;

constexpr Millis kHeartbeat{1500};
constexpr Millis kAnswerTime{1000};  // a later answer is dropped
constexpr Millis kAfterEnd{50};
constexpr Millis kStopTime{100};  // at most stop_ms
constexpr Millis kGreyTime{100};
constexpr std::size_t kListedEnds = 500;
constexpr std::int64_t kHoldMaxMs = 10000;

std::uint64_t number(const json::value* value) {
  if (value == nullptr) return 0;
  if (const auto* whole = value->if_int64()) return static_cast<std::uint64_t>(*whole);
  if (const auto* whole = value->if_uint64()) return *whole;
  return 0;
}

std::string run_name(const std::string& task, std::uint64_t run) {
  return "task " + task + " run " + std::to_string(run);
}

}  // namespace

Leaf::Leaf(Record& record, LeafOptions options)
    : record_(record), options_(std::move(options)), thread_([this] { loop(); }) {}

Leaf::~Leaf() {
  stop_ = true;
  thread_.join();
}

void Leaf::set_grey(bool grey) {
  record_.add(options_.id + (grey ? " begins to fail all that it starts" : " is sound again"));
  const std::lock_guard lock(mutex_);
  grey_ = grey;
}

unsigned Leaf::deregister_first(Millis serve) {
  HttpCall call;
  call.address = options_.control;
  call.method = "POST";
  call.target = "/v1/Instances.Deregister/" + options_.id;
  call.timeout = kAnswerTime;
  record_.add(options_.id + " sends Deregister");
  const unsigned status = send_http_call(call).status;
  record_.add(options_.id + " has the answer " + std::to_string(status) + " to Deregister, serves on for " +
              std::to_string(serve.count()) + " ms");
  const std::lock_guard lock(mutex_);
  leave_at_ = Clock::now() + serve;
  return status;
}

std::vector<LeafRun> Leaf::runs() const {
  const std::lock_guard lock(mutex_);
  return runs_;
}

void Leaf::loop() {
  Clock::time_point next = Clock::now();
  while (!stop_) {
    {
      const std::lock_guard lock(mutex_);
      const Clock::time_point now = Clock::now();
      const std::size_t before = finished_.size();
      end_due(now);
      if (finished_.size() > before) next = std::min(next, now + kAfterEnd);
      if (now >= leave_at_) break;
    }
    if (Clock::now() >= next) {
      next = beat();
    } else {
      std::this_thread::sleep_for(Millis(5));
    }
  }
  const std::lock_guard lock(mutex_);
  kill_all(Clock::now());
  ended_ = true;
  record_.add(options_.id + " ends");
}

void Leaf::kill_all(Clock::time_point now) {
  for (const auto& [task, state] : running_) {
    LeafRun& run = runs_[state.position];
    run.running = false;
    run.ended = now;
    run.how = "killed";
    record_.add(options_.id + " ends with " + run_name(task, state.run) + " still running");
  }
  running_.clear();
}

void Leaf::end_due(Clock::time_point now) {
  std::vector<std::string> due;
  const bool lapsed = now >= held_until_;
  for (const auto& [task, state] : running_)
    if (lapsed || now >= state.ends) due.push_back(task);
  for (const std::string& task : due) {
    const Running state = running_.at(task);
    end(task, lapsed ? "lapsed" : state.stopping ? "stopped" : state.how, now);
  }
}

void Leaf::end(const std::string& task, const std::string& how, Clock::time_point at) {
  const Running state = running_.at(task);
  running_.erase(task);
  finished_.push_back({++last_number_, task, state.run, how});
  LeafRun& run = runs_[state.position];
  run.running = false;
  run.ended = at;
  run.how = how;
  record_.add(options_.id + " ends " + run_name(task, state.run) + ": " + how);
}

std::string Leaf::body() {
  const Clock::time_point now = Clock::now();
  json::array running;
  for (const auto& [task, state] : running_) {
    std::int64_t percent = 0;
    if (!state.lasts)
      percent = std::clamp<std::int64_t>((now - state.began) * 100 / (state.ends - state.began), 0, 100);
    running.push_back(json::array{task, state.run, "", percent});
  }
  json::array finished;
  for (std::size_t i = 0; i < finished_.size() && i < kListedEnds; ++i)
    finished.push_back(
        json::array{finished_[i].number, finished_[i].task, finished_[i].run, finished_[i].how, ""});
  json::object root;
  root["backend"] = options_.service;
  root["address"] = options_.control.substr(0, options_.control.rfind(':')) + ":8145";
  root["zone"] = "lima-sur";
  root["version"] = "v1";
  root["slots"] = 8;
  root["state"] = "ready";
  root["warmup_left_ms"] = 0;
  root["capacity"] = json::object{{"cpu", options_.cpu}, {"mem_mb", options_.mem_mb}, {"gpu", options_.gpu}};
  json::array labels;
  for (const std::string& label : options_.labels) labels.push_back(json::value(label));
  root["labels"] = std::move(labels);
  root["clock_ms"] = std::chrono::duration_cast<Millis>(now.time_since_epoch()).count();
  root["sequence"] = ++sequence_;
  root["running"] = std::move(running);
  root["finished"] = std::move(finished);
  return json::serialize(root);
}

// Sends a heartbeat and obeys the answer. Returns the time of the next heartbeat.
Clock::time_point Leaf::beat() {
  HttpCall call;
  call.address = options_.control;
  call.method = "POST";
  call.target = "/v1/Instances.Heartbeat/" + options_.id;
  call.timeout = kAnswerTime;
  Clock::time_point sent;
  {
    const std::lock_guard lock(mutex_);
    call.body = body();
    sent = Clock::now();
  }
  const auto answer = send_http_call(call);
  const Clock::time_point now = Clock::now();
  boost::system::error_code error;
  const json::value value = json::parse(answer.body, error);
  const bool usable = answer.status / 100 == 2 && now - sent < kAnswerTime && !error && value.is_object();
  if (!usable) return std::max(now, sent + kAnswerTime);
  ++acknowledged_;
  const json::object& orders = value.as_object();
  obey(orders, sent);
  const json::value* retry_after = orders.if_contains("retry_after_ms");
  return retry_after == nullptr ? sent + kHeartbeat : now + Millis(number(retry_after));
}

void Leaf::obey(const json::object& orders, Clock::time_point sent) {
  const std::lock_guard lock(mutex_);
  const std::uint64_t fence = number(orders.if_contains("fence_token"));
  if (fence < fence_) return;
  fence_ = fence;
  const Clock::time_point now = Clock::now();
  end_due(now);
  const std::uint64_t last_seen = number(orders.if_contains("last_seen"));
  std::erase_if(finished_, [&](const Ended& entry) { return entry.number <= last_seen; });
  const auto hold_ms = static_cast<std::int64_t>(number(orders.if_contains("hold_ms")));
  if (hold_ms > 0) held_until_ = std::max(held_until_, sent + Millis(std::min(hold_ms, kHoldMaxMs)));
  if (const json::value* stops = orders.if_contains("stopped_at")) {
    for (const json::value& stop : stops->as_array()) {
      const std::string task(stop.at(0).as_string());
      const std::uint64_t run = number(&stop.at(1));
      highest_[task] = std::max(highest_[task], run);
      const auto found = running_.find(task);
      if (found == running_.end() || found->second.run > run || found->second.stopping) continue;
      found->second.stopping = true;
      found->second.ends = std::min(found->second.ends, now + kStopTime);
      record_.add(options_.id + " is told to stop " + run_name(task, run));
    }
  }
  if (hold_ms == 0) return;
  if (const json::value* starts = orders.if_contains("started_at")) {
    for (const json::value& order : starts->as_array())
      start(std::string(order.at(0).as_string()), number(&order.at(1)), std::string(order.at(2).as_string()),
            now);
  }
}

void Leaf::start(const std::string& task, std::uint64_t run, const std::string& spec, Clock::time_point now) {
  if (run <= highest_[task] || now >= held_until_) return;
  highest_[task] = run;
  std::istringstream words(spec);
  std::string verb;
  std::int64_t ms = 0;
  words >> verb >> ms;
  Running state{run, now, now + Millis(std::max<std::int64_t>(ms, 1)), "done", false, false, runs_.size()};
  if (verb == "last") {
    state.lasts = true;
    state.ends = Clock::time_point::max();
  }
  if (verb == "fail") state.how = "failed";
  if (grey_) {
    state.how = "failed";
    state.lasts = false;
    state.ends = now + kGreyTime;
  }
  running_[task] = state;
  runs_.push_back({options_.id, task, run, now, now, true, ""});
  record_.add(options_.id + " starts " + run_name(task, run) + " (" + spec + ")");
}

}  // namespace review
