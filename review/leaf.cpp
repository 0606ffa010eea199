#include "review/leaf.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <utility>

namespace winchhall::review {

namespace {

namespace json = boost::json;
using std::chrono::milliseconds;
using testbed::cluster::HttpCall;
using testbed::cluster::HttpCallResponse;

constexpr milliseconds kHeartbeat{1500};
constexpr milliseconds kAfterFailure{300};
constexpr milliseconds kAfterEnd{50};
constexpr milliseconds kAnswerLimit{1000};
constexpr milliseconds kStep{5};
constexpr std::size_t kEndsAtATime = 500;
constexpr std::size_t kNoRun = static_cast<std::size_t>(-1);

std::uint64_t to_number(const json::value* value) {
  if (value == nullptr) return 0;
  if (const auto* number = value->if_int64()) return static_cast<std::uint64_t>(*number);
  if (const auto* number = value->if_uint64()) return *number;
  return 0;
}

}  // namespace

Leaf::Leaf(LeafOptions options) : options_(std::move(options)), thread_([this] { work(); }) {}

Leaf::~Leaf() { end(); }

void Leaf::end() {
  ending_ = true;
  if (!thread_.joinable()) return;
  thread_.join();
  const Clock::time_point now = std::min(Clock::now(), held_until_);
  const std::lock_guard lock(mutex_);
  for (const auto& [task, running] : running_) {
    runs_[running.index].running = false;
    runs_[running.index].ended = std::max(now, runs_[running.index].began);
  }
  running_.clear();
}

std::vector<LeafRun> Leaf::runs() const {
  const std::lock_guard lock(mutex_);
  return runs_;
}

std::size_t Leaf::running() const {
  const std::lock_guard lock(mutex_);
  return running_.size();
}

void Leaf::work() {
  Clock::time_point next = Clock::now();
  while (!ending_) {
    const Clock::time_point now = Clock::now();
    const std::uint64_t ends_before = last_end_;
    end_due_runs(now);
    if (last_end_ > ends_before) next = std::min(next, now + kAfterEnd);
    if (now < next || silent_) {
      std::this_thread::sleep_for(kStep);
      continue;
    }
    const HttpCallResponse response = testbed::cluster::send_http_call(heartbeat(now));
    next = Clock::now() + apply(response, now);
  }
}

void Leaf::end_due_runs(Clock::time_point now) {
  std::vector<std::pair<Clock::time_point, std::string>> due;
  const bool lapsed = now >= held_until_;
  for (const auto& [task, running] : running_)
    if (lapsed || now >= running.ends) due.emplace_back(std::min(running.ends, held_until_), task);
  if (lapsed && !due.empty()) ++lapses_;
  std::sort(due.begin(), due.end());
  for (const auto& [at, task] : due) {
    const Running& running = running_.at(task);
    if (running.ends > held_until_) {
      end_run(task, "lapsed", at);
    } else {
      end_run(task, running.stopping ? "stopped" : "done", at);
    }
  }
}

void Leaf::end_run(const std::string& task, const std::string& how, Clock::time_point at) {
  const std::lock_guard lock(mutex_);
  const auto found = running_.find(task);
  const Running running = found->second;
  running_.erase(found);
  LeafRun& run = runs_[running.index];
  run.ended = std::max(at, run.began);
  run.running = false;
  run.done = how == "done";
  ends_.push_back({++last_end_, task, running.number, how, running.index, lapses_});
}

HttpCall Leaf::heartbeat(Clock::time_point now) {
  json::array running;
  for (const auto& [task, state] : running_) {
    const auto whole = std::max<Clock::duration>(state.ends - runs_[state.index].began, milliseconds(1));
    const auto percent = (now - runs_[state.index].began) * 100 / whole;
    running.push_back(json::array{task, state.number, "", std::clamp<std::int64_t>(percent, 0, 100)});
  }
  json::array finished;
  for (const End& end : ends_) {
    if (finished.size() == kEndsAtATime) break;
    finished.push_back(json::array{end.number, end.task, end.run, end.how, ""});
  }
  json::object body;
  body["backend"] = options_.service;
  body["address"] = options_.agent;
  body["zone"] = "lima-sur";
  body["version"] = "v1";
  body["slots"] = 8;
  body["state"] = "ready";
  body["warmup_left_ms"] = 0;
  body["capacity"] = json::object{{"cpu", options_.cpu}, {"mem_mb", options_.mem_mb}, {"gpu", 0}};
  body["labels"] = json::array{"a", "r1-1"};
  body["clock_ms"] = std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count();
  body["sequence"] = ++sequence_;
  body["running"] = std::move(running);
  body["finished"] = std::move(finished);
  HttpCall call;
  call.address = options_.agent;
  call.method = "POST";
  call.target = "/v1/Instances.Heartbeat/" + options_.id;
  call.body = json::serialize(body);
  call.timeout = kAnswerLimit;
  return call;
}

milliseconds Leaf::apply(const HttpCallResponse& response, Clock::time_point sent_at) {
  const Clock::time_point now = Clock::now();
  boost::system::error_code error;
  const json::value value = json::parse(response.body, error);
  if (response.status < 200 || response.status >= 300 || now - sent_at >= kAnswerLimit) return kAfterFailure;
  if (error || !value.is_object()) return kHeartbeat;
  const json::object& answer = value.as_object();
  const std::uint64_t token = to_number(answer.if_contains("fence_token"));
  if (token < fence_token_) return kHeartbeat;
  fence_token_ = token;
  end_due_runs(now);
  held_until_ = std::max(held_until_, sent_at + milliseconds(to_number(answer.if_contains("hold_ms"))));
  forget_ends(to_number(answer.if_contains("last_seen")));
  apply_stops(answer.if_contains("stopped_at"), now);
  apply_starts(answer.if_contains("started_at"), now);
  const json::value* retry_after = answer.if_contains("retry_after_ms");
  return retry_after != nullptr ? milliseconds(to_number(retry_after)) : kHeartbeat;
}

void Leaf::forget_ends(std::uint64_t last_seen) {
  const std::lock_guard lock(mutex_);
  while (!ends_.empty() && ends_.front().number <= last_seen) {
    const End& end = ends_.front();
    if (end.index != kNoRun) runs_[end.index].taken_note_of = end.lapses == lapses_;
    ends_.pop_front();
  }
}

void Leaf::apply_stops(const json::value* stops, Clock::time_point now) {
  if (stops == nullptr) return;
  const std::lock_guard lock(mutex_);
  for (const json::value& stop : stops->as_array()) {
    const auto found = running_.find(std::string(stop.at(0).as_string()));
    if (found == running_.end() || found->second.number != to_number(&stop.at(1)) || found->second.stopping)
      continue;
    found->second.stopping = true;
    found->second.ends = now + options_.stop_time;
  }
}

void Leaf::apply_starts(const json::value* starts, Clock::time_point now) {
  if (starts == nullptr || now >= held_until_) return;
  const std::lock_guard lock(mutex_);
  for (const json::value& order : starts->as_array()) {
    const std::string task(order.at(0).as_string());
    const std::uint64_t run = to_number(&order.at(1));
    std::uint64_t& highest = highest_run_[task];
    if (run <= highest || running_.contains(task)) {
      if (run > highest) ends_.push_back({++last_end_, task, run, "refused", kNoRun, lapses_});
      continue;
    }
    highest = run;
    running_[task] = {now + options_.task_time, false, run, runs_.size()};
    runs_.push_back({task, run, now, now});
  }
}

}  // namespace winchhall::review
