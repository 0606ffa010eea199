#include "leaf.hpp"

#include <boost/json.hpp>
#include <utility>

#include "testbed/cluster/http_call.hpp"

namespace review {
namespace {

namespace json = boost::json;
using winchhall::testbed::cluster::HttpCall;
using winchhall::testbed::cluster::HttpCallResponse;
using winchhall::testbed::cluster::send_http_call;

constexpr Millis kBeatInterval{1500};
constexpr Millis kBeatAfterEnd{50};
constexpr Millis kAnswerLimit{1000};
constexpr Millis kStep{5};
constexpr Millis kStopTime{50};
constexpr Millis kFailTime{100};
constexpr std::size_t kMaxEnds = 500;

std::uint64_t number(const json::value* value) {
  if (value == nullptr) return 0;
  if (const auto* given = value->if_int64()) return static_cast<std::uint64_t>(*given);
  if (const auto* given = value->if_uint64()) return *given;
  return 0;
}

std::string job_of(const std::string& task) { return task.substr(0, task.find('.')); }

}  // namespace

Leaf::Leaf(Record& record, LeafOptions options)
    : record_(record), options_(std::move(options)), thread_([this] { loop(); }) {}

Leaf::~Leaf() { end(); }

void Leaf::end() {
  if (stopping_.exchange(true)) return;
  thread_.join();
  const std::lock_guard lock(mutex_);
  const Clock::time_point now = Clock::now();
  for (const auto& [task, running] : running_) {
    runs_[running.index].ended = now;
    runs_[running.index].how = "died";
  }
  running_.clear();
  ended_at_ = now;
  record_.write("leaf " + options_.id + " ends");
}

std::optional<Clock::time_point> Leaf::ended_at() const {
  const std::lock_guard lock(mutex_);
  return ended_at_;
}

std::vector<LateBeat> Leaf::beats_on_their_way() const {
  const std::lock_guard lock(mutex_);
  return late_;
}

bool Leaf::is_held() const {
  const std::lock_guard lock(mutex_);
  return Clock::now() < held_until_;
}

std::vector<Run> Leaf::runs() const {
  const std::lock_guard lock(mutex_);
  return runs_;
}

bool Leaf::is_running(const std::string& job) const {
  const std::lock_guard lock(mutex_);
  for (const auto& [task, running] : running_)
    if (job_of(task) == job) return true;
  return false;
}

void Leaf::fail_runs_of(const std::string& job) {
  const std::lock_guard lock(mutex_);
  for (auto& [task, running] : running_) {
    if (job_of(task) != job) continue;
    running.ends = Clock::now();
    running.how = "failed";
  }
}

std::optional<Clock::time_point> Leaf::deregister() {
  HttpCall call;
  call.address = options_.agent;
  call.method = "POST";
  call.target = "/v1/Instances.Deregister/" + options_.id;
  call.timeout = kAnswerLimit;
  const HttpCallResponse answer = send_http_call(call);
  record_.write("leaf " + options_.id + " sends Deregister -> " + std::to_string(answer.status));
  if (answer.status < 200 || answer.status > 299) return std::nullopt;
  return Clock::now();
}

void Leaf::loop() {
  Clock::time_point next = Clock::now();
  while (!stopping_) {
    const Clock::time_point now = Clock::now();
    HttpCall call;
    {
      const std::lock_guard lock(mutex_);
      end_due(now);
      if (std::exchange(beat_soon_, false)) next = std::min(next, now + kBeatAfterEnd);
      if (now >= next) call.body = body();
    }
    if (call.body.empty()) {
      std::this_thread::sleep_for(kStep);
      continue;
    }
    if (held_up_) {
      const std::lock_guard lock(mutex_);
      late_.push_back({call.body, now});
      next = now + kAnswerLimit;
      record_.write("leaf " + options_.id + " sends a heartbeat that comes late");
      continue;
    }
    call.address = options_.agent;
    call.method = "POST";
    call.target = "/v1/Instances.Heartbeat/" + options_.id;
    call.timeout = kAnswerLimit;
    const HttpCallResponse answer = send_http_call(call);
    const std::lock_guard lock(mutex_);
    const bool in_time = Clock::now() - now < kAnswerLimit;
    const bool acknowledged = answer.status >= 200 && answer.status <= 299 && in_time;
    next = Clock::now() + (acknowledged ? apply(answer.body, now) : kBeatInterval);
  }
}

std::string Leaf::body() {
  const Clock::time_point now = Clock::now();
  json::array running;
  for (const auto& [task, state] : running_) {
    const Run& run = runs_[state.index];
    std::int64_t percent = 0;
    if (state.ends != Clock::time_point::max())
      percent = (now - run.began) * 100 / std::max(state.ends - run.began, Clock::duration(1));
    running.push_back(json::array{task, state.run, "", std::min<std::int64_t>(percent, 99)});
  }
  json::array finished;
  for (const End& end : ends_) {
    if (finished.size() == kMaxEnds) break;
    finished.push_back(json::array{end.number, end.task, end.run, end.how, ""});
  }
  json::array labels;
  for (const std::string& label : options_.labels) labels.emplace_back(label);
  json::object beat;
  beat["backend"] = options_.service;
  beat["address"] = options_.agent.substr(0, options_.agent.find(':')) + ":8080";
  beat["zone"] = options_.zone;
  beat["version"] = "v1";
  beat["slots"] = 8;
  beat["state"] = "ready";
  beat["warmup_left_ms"] = 0;
  beat["capacity"] = json::object{{"cpu", options_.cpu}, {"mem_mb", options_.mem_mb}, {"gpu", 0}};
  beat["labels"] = std::move(labels);
  beat["clock_ms"] = std::chrono::duration_cast<Millis>(now.time_since_epoch()).count();
  beat["sequence"] = ++sequence_;
  beat["running"] = std::move(running);
  beat["finished"] = std::move(finished);
  return json::serialize(beat);
}

Millis Leaf::apply(const std::string& answer, Clock::time_point sent_at) {
  boost::system::error_code error;
  const json::value value = json::parse(answer, error);
  if (error || !value.is_object()) return kBeatInterval;
  const json::object& orders = value.as_object();
  const Clock::time_point now = Clock::now();
  end_due(now);
  const std::uint64_t fence = number(orders.if_contains("fence_token"));
  if (fence < fence_) return kBeatInterval;
  fence_ = fence;
  const auto hold = Millis(std::min<std::uint64_t>(number(orders.if_contains("hold_ms")), 10000));
  held_until_ = std::max(held_until_, sent_at + hold);
  const std::uint64_t last_seen = number(orders.if_contains("last_seen"));
  std::erase_if(ends_, [&](const End& end) {
    if (end.number <= last_seen)
      record_.write("leaf " + options_.id + ": end of " + end.task + " run " + std::to_string(end.run) +
                    " is taken note of");
    return end.number <= last_seen;
  });
  if (const json::value* stops = orders.if_contains("stopped_at"))
    for (const json::value& stop : stops->as_array())
      stop_task(std::string(stop.at(0).as_string()), number(&stop.at(1)), now);
  if (const json::value* starts = orders.if_contains("started_at"))
    for (const json::value& start : starts->as_array())
      start_task(std::string(start.at(0).as_string()), number(&start.at(1)),
                 std::string(start.at(2).as_string()), now);
  const json::value* retry = orders.if_contains("retry_after_ms");
  return retry != nullptr ? Millis(number(retry)) : kBeatInterval;
}

void Leaf::end_due(Clock::time_point now) {
  std::vector<std::pair<std::string, std::string>> due;
  const bool lapsed = now >= held_until_;
  for (const auto& [task, running] : running_)
    if (lapsed || now >= running.ends) due.emplace_back(task, lapsed ? "lapsed" : running.how);
  for (const auto& [task, how] : due) end_task(task, how, now);
}

void Leaf::end_task(const std::string& task, const std::string& how, Clock::time_point at) {
  const auto found = running_.find(task);
  Run& run = runs_[found->second.index];
  run.ended = at;
  run.how = how;
  ends_.push_back({++last_end_, task, found->second.run, how});
  record_.write("leaf " + options_.id + " ends " + task + " run " + std::to_string(found->second.run) + ' ' +
                how);
  running_.erase(found);
  beat_soon_ = true;
}

void Leaf::stop_task(const std::string& task, std::uint64_t run, Clock::time_point now) {
  highest_run_[task] = std::max(highest_run_[task], run);
  const auto found = running_.find(task);
  if (found == running_.end() || found->second.run != run || found->second.how == "stopped") return;
  found->second.how = "stopped";
  found->second.ends = now + kStopTime;
}

void Leaf::start_task(const std::string& task, std::uint64_t run, const std::string& spec,
                      Clock::time_point now) {
  if (run <= highest_run_[task] || now >= held_until_) return;
  highest_run_[task] = run;
  Running running{run, Clock::time_point::max(), "done", runs_.size()};
  if (spec.rfind("ms=", 0) == 0) running.ends = now + Millis(std::stol(spec.substr(3)));
  if (failing_) {
    running.ends = now + kFailTime;
    running.how = "failed";
  }
  runs_.push_back({task, run, options_.id, now, std::nullopt, ""});
  running_[task] = running;
  record_.write("leaf " + options_.id + " starts " + task + " run " + std::to_string(run));
  beat_soon_ = true;
}

}  // namespace review
