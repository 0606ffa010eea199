#include "testbed/node.hpp"

#include <algorithm>
#include <charconv>
#include <cstdio>

#include "aggregator/flight/arrow.hpp"
#include "aggregator/flight/grpc.hpp"
#include "aggregator/http/frames.hpp"
#include "aggregator/http/range_protocol.hpp"
#include "command.pb.h"
#include "flight.pb.h"

namespace winchhall::testbed {

namespace wire = arrow::flight::protocol;
using flight::Headers;

namespace {
std::uint64_t number_after(const std::string& list, const char* name) {
  std::size_t at = list.find(name);
  std::uint64_t n = 0;
  if (at != std::string::npos)
    std::from_chars(list.data() + at + std::string_view(name).size(), list.data() + list.size(), n);
  return n;
}

event_loop::Millis now_ms(event_loop::Loop& loop) { return loop.now(); }
}  // namespace

// ---- Frames

class Node::FrameConnection : public event_loop::Stream::Owner,
                              public std::enable_shared_from_this<FrameConnection> {
 public:
  explicit FrameConnection(Node& node) : node_(node) {}
  void adopt(event_loop::UniqueFd fd) {
    stream_ = event_loop::Stream::adopt(node_.loop_, std::move(fd), *this);
  }
  void close() { stream_->close(); }

  void received(std::string& in) override {
    bool bad = false;
    while (auto frame = http::take_frame(in, bad)) {
      if (frame->type == 'K') cancel(frame->payload);
      if (frame->type == 'U' || frame->type == 'I')
        stream_->write(http::make_frame(frame->type, node_.load()));
      if (frame->type == 'D') receive_calls(frame->payload);
    }
    if (bad) ended();
  }
  void ended() override {
    for (auto& [id, job] : jobs_) job->cancelled = true;
    auto self = shared_from_this();
    stream_->close();
    if (node_.frame_connections_.erase(self) > 0) node_.loop_.destroy_later(std::move(self));
  }

 private:
  void cancel(const std::string& id) {
    auto it = jobs_.find(id);
    if (it == jobs_.end()) return;
    it->second->cancelled = true;
    jobs_.erase(it);
  }
  void receive_calls(std::string rest) {
    while (!rest.empty()) {
      std::size_t line = rest.find('\n');
      char id[200], list[200];
      unsigned long long range = 0;
      unsigned long size = 0;
      if (line == std::string::npos ||
          std::sscanf(rest.substr(0, line).c_str(), "%199s %llu %199s %lu", id, &range, list, &size) != 4)
        return ended();
      auto job = std::make_shared<Job>();
      std::string attributes = list;
      job->part = {node_.number_,
                   id,
                   rest.substr(line + 1, size),
                   {number_after(attributes, "from="), number_after(attributes, "to=")},
                   {}};
      std::size_t dot = attributes.find('.', std::min(attributes.find("rev="), attributes.size()));
      job->part.revision = {number_after(attributes, "rev="),
                            dot == std::string::npos ? 0 : number_after(attributes.substr(dot), ".")};
      job->deadline = now_ms(node_.loop_) + static_cast<Millis>(number_after(attributes, "d="));
      rest.erase(0, line + 1 + size);
      jobs_[id] = job;
      job->reply = [weak = weak_from_this(), part = std::string(id)](int status, const std::string& value) {
        auto self = weak.lock();
        if (!self || !self->stream_->open()) return;
        self->jobs_.erase(part);
        self->stream_->write(http::make_frame(
            'O', part + " " + std::to_string(status) + " 1 " + self->node_.load() + "\n" + value));
      };
      node_.accept_job(job);
    }
  }

  Node& node_;
  std::shared_ptr<event_loop::Stream> stream_;
  std::map<std::string, JobPtr> jobs_;
};

// ---- Flight

class Node::FlightConnection : public flight::Http2Connection::Handler,
                               public std::enable_shared_from_this<FlightConnection> {
 public:
  explicit FlightConnection(Node& node)
      : node_(node), http2_(node.loop_, *this, flight::Http2Connection::Side::server) {}
  void adopt(event_loop::UniqueFd fd) { http2_.adopt(std::move(fd)); }
  void close() { http2_.close(); }

  void on_headers(std::int32_t id, const Headers& headers) override { calls_[id].headers = headers; }
  void on_data(std::int32_t id, std::string_view bytes) override { calls_[id].in.append(bytes); }
  void on_end_stream(std::int32_t id) override {
    Call& call = calls_[id];
    bool bad = false;
    auto message = flight::take_message(call.in, flight::kMaxMessageBytes, bad);
    wire::Ticket ticket;
    PartCommand command;
    if (!message || !ticket.ParseFromString(*message) || !command.ParseFromString(ticket.ticket()))
      return http2_.reset_stream(id, NGHTTP2_PROTOCOL_ERROR);
    auto job = std::make_shared<Job>();
    const auto& interval = command.interval();
    job->part = {node_.number_,
                 command.part(),
                 command.text(),
                 {interval.from(), interval.to()},
                 {interval.incarnation(), interval.revision()}};
    const std::string* timeout = flight::find_header(call.headers, "grpc-timeout");
    job->deadline = now_ms(node_.loop_) + (timeout ? flight::read_timeout(*timeout).value_or(10000) : 10000);
    call.job = job;
    job->reply = [weak = weak_from_this(), id, span = job->part.span, revision = job->part.revision](
                     int status, const std::string& value) {
      if (auto self = weak.lock()) self->reply(id, span, revision, status, value);
    };
    node_.accept_job(job);
  }
  void on_stream_closed(std::int32_t id, std::uint32_t) override {
    auto it = calls_.find(id);
    if (it == calls_.end()) return;
    if (it->second.job) it->second.job->cancelled = true;
    calls_.erase(it);
  }
  void on_disconnected() override {
    for (auto& [id, call] : calls_)
      if (call.job) call.job->cancelled = true;
    auto self = shared_from_this();
    http2_.close();
    if (node_.flight_connections_.erase(self) > 0) node_.loop_.destroy_later(std::move(self));
  }

 private:
  struct Call {
    Headers headers;
    std::string in;
    JobPtr job;
  };
  static std::string data_message(const flight::ArrowMessage& m) {
    wire::FlightData data;
    data.set_data_header(m.header);
    data.set_data_body(m.body);
    return flight::frame_message(data.SerializeAsString());
  }
  void reply(std::int32_t id, const ranges::Span& span, const ranges::Revision& revision, int status,
             const std::string& value) {
    if (!calls_.count(id) || !http2_.open()) return;
    calls_[id].job = nullptr;  // answered: closing the stream doesn't cancel it
    using flight::Status;
    Headers trailers = flight::status_trailers(status == 200                  ? Status::ok
                                               : status == 503                ? Status::unavailable
                                               : status == http::kMisdirected ? Status::failed_precondition
                                                                              : Status::internal,
                                               "");
    trailers.emplace_back("node-load", node_.load());
    std::string body;
    if (status == 200) {
      flight::ArrowRow row;
      row.span = span;
      row.revision = ranges::text_of(revision);
      row.data = value;
      body = data_message(flight::schema_message(flight::Layout::spans)) +
             data_message(flight::batch_message({row}, flight::Layout::spans));
    }
    if (status == http::kMisdirected) flight::add_denial(trailers, http::read_denial(value));
    http2_.submit_response(id, {{":status", "200"}, {"content-type", "application/grpc"}}, body, trailers);
    http2_.send_pending();
  }

  Node& node_;
  flight::Http2Connection http2_;
  std::map<std::int32_t, Call> calls_;
};

// ---- Node

Node::Node(event_loop::Loop& loop, std::size_t number, const NodeOptions& options,
           const SimulatedDeployment& deployment, const ReferenceLedger& reference, std::uint64_t seed,
           PartObserver on_part)
    : loop_(loop),
      number_(number),
      options_(options),
      deployment_(deployment),
      reference_(reference),
      random_(seed, 100 + number),
      on_part_(std::move(on_part)) {
  listen();
}

Node::~Node() { crash(); }

std::string Node::frames_address() const { return "127.0.0.1:" + std::to_string(frames_port_); }
std::string Node::flight_address() const { return "127.0.0.1:" + std::to_string(flight_port_); }

void Node::listen() {
  auto at = [](int port) { return *event_loop::parse_address("127.0.0.1:" + std::to_string(port)); };
  frames_ = std::make_unique<event_loop::Listener>(loop_, at(frames_port_), [this](event_loop::UniqueFd fd) {
    auto connection = std::make_shared<FrameConnection>(*this);
    frame_connections_.insert(connection);
    connection->adopt(std::move(fd));
  });
  flight_ = std::make_unique<event_loop::Listener>(loop_, at(flight_port_), [this](event_loop::UniqueFd fd) {
    auto connection = std::make_shared<FlightConnection>(*this);
    flight_connections_.insert(connection);
    connection->adopt(std::move(fd));
  });
  frames_port_ = frames_->port();
  flight_port_ = flight_->port();
}

double Node::capacity(Millis now) const {
  double warm = up_since_ <= 0 ? 1 : std::min(1.0, (now - up_since_) / options_.warm_up_time);
  return static_cast<double>(options_.cores) *
         (options_.warm_up_initial_share + (1 - options_.warm_up_initial_share) * warm);
}

void Node::accept_job(JobPtr job) {
  Millis now = loop_.now();
  if (!alive_) return;
  ++counts_.asked;
  on_part_(job->part);
  job->work = random_.between(options_.min_work, options_.max_work);
  if (up_since_ > 0 && now - up_since_ < options_.warm_up_time) {
    recent_cold_work_.emplace_back(now, job->work);
    while (recent_cold_work_.front().first < now - options_.fall_time) recent_cold_work_.pop_front();
    double sent = 0;
    for (const auto& w : recent_cold_work_) sent += w.second;
    double overload = sent / (capacity(now) * options_.fall_time);
    counts_.worst_cold = std::max(counts_.worst_cold, overload);
    if (overload > options_.fall_multiple) {
      counts_.failed_by_overload = true;
      return crash();
    }
  }
  if (now < deny_until_) {
    ++counts_.denied;
    return job->reply(http::kMisdirected, denial(*job));
  }
  if (!deployment_.has_data(number_, job->part.span)) {
    ++counts_.denied;
    return job->reply(http::kMisdirected, denial(*job));
  }
  if (queue_.size() >= options_.queue_limit) {
    ++counts_.queue_full;
    return job->reply(503, "");
  }
  queue_.push_back(std::move(job));
  start_queued_jobs();
}

std::string Node::denial(const Job& job) const {
  const ranges::RangeMap& known = deployment_.map_at(loop_.now() - update_lag_);
  ranges::Denial denial{known.revision(), {}};
  if (known.revision() > job.part.revision)
    known.visit(job.part.span, [&](const ranges::RangeView& p) {
      denial.successors.push_back({p.span, p.id, {}, *p.holders, 0, {}});
      return true;
    });
  return http::write_denial(denial);
}

void Node::start_queued_jobs() {
  Millis now = loop_.now();
  if (!alive_ || now < paused_until_) return;
  while (running_ < options_.cores && !queue_.empty()) {
    JobPtr job = queue_.front();
    queue_.pop_front();
    if (job->cancelled || job->deadline <= now) {
      ++(job->cancelled ? counts_.cancelled : counts_.late);
      continue;
    }
    ++running_;
    double slower = static_cast<double>(options_.cores) / capacity(now);
    loop_.run_at(now + job->work * slower, [this, job, generation = generation_] {
      if (generation == generation_) finish_job(job);
    });
  }
}

void Node::finish_job(JobPtr job) {
  if (loop_.now() < paused_until_) {  // a paused node finishes its running jobs after the pause
    loop_.run_at(paused_until_, [this, job, generation = generation_] {
      if (generation == generation_) finish_job(job);
    });
    return;
  }
  --running_;
  if (!job->cancelled) {
    // The data is checked when the job ends, since a hand-over may have removed it after the job began.
    if (deployment_.has_data(number_, job->part.span)) {
      ++counts_.served;
      job->reply(200, reference_.rows(job->part.span, job->part.text));
    } else {
      ++counts_.denied;
      job->reply(http::kMisdirected, denial(*job));
    }
  }
  start_queued_jobs();
}

void Node::pause(Millis ms) {
  paused_until_ = std::max(paused_until_, loop_.now() + ms);
  loop_.run_at(paused_until_, [this, generation = generation_] {
    if (generation == generation_) start_queued_jobs();
  });
}

void Node::crash() {
  if (!alive_) return;
  alive_ = false;
  ++generation_;
  running_ = 0;
  queue_.clear();
  frames_.reset();
  flight_.reset();
  for (const auto& connection : std::exchange(frame_connections_, {})) {
    connection->close();
    loop_.destroy_later(connection);
  }
  for (const auto& connection : std::exchange(flight_connections_, {})) {
    connection->close();
    loop_.destroy_later(connection);
  }
}

void Node::restart() {
  if (alive_ || counts_.failed_by_overload) return;
  alive_ = true;
  up_since_ = loop_.now();
  paused_until_ = 0;
  recent_cold_work_.clear();
  listen();
}

}  // namespace winchhall::testbed
