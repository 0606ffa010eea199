#include "aggregator/flight/flight_server.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <map>
#include <optional>

#include "aggregator/coordination/query_validation.hpp"
#include "aggregator/flight/arrow.hpp"
#include "aggregator/flight/grpc.hpp"
#include "command.pb.h"
#include "flight.pb.h"

namespace winchhall::flight {
namespace {

namespace wire = arrow::flight::protocol;
constexpr char kService[] = "/arrow.flight.protocol.FlightService/";
constexpr std::size_t kRequestMost = 96 * 1024;  // a command's text is held to 64 KiB like a body elsewhere
constexpr std::size_t kTextMost = 64 * 1024;
constexpr event_loop::Millis kFirstCall = 2000;          // ms from connecting to a first call
constexpr event_loop::Millis kHalfCall = 2000;           // ms from a call's headers to its end
constexpr event_loop::Millis kAnswerTakenWithin = 1000;  // ms from a call's answer until its client has it
constexpr event_loop::Millis kSweep = 200;
constexpr event_loop::Millis kDueSlack =
    50;  // ms before its end from which a failed query counts as out of time

template <class T>
int index_of(const std::vector<T>& list, const std::string& name) {
  for (std::size_t i = 0; i < list.size(); ++i)
    if (!name.empty() && list[i].name == name) return static_cast<int>(i);
  return -1;
}

struct Refusal {
  Status status = Status::ok;
  std::string message{};
};

Refusal read_command(const std::string& bytes, const winchhall::Settings& settings, int shards, bool spans,
                     coordination::QuerySpec& q) {
  QueryCommand command;
  if (!command.ParseFromString(bytes)) return {Status::invalid_argument, "the command cannot be read"};
  q.query_class = index_of(settings.classes, command.query_class());
  if (q.query_class < 0) return {Status::not_found, "no such class"};
  if (command.text().size() > kTextMost) return {Status::invalid_argument, "the text is too long"};
  q.tenant = index_of(settings.tenants, command.tenant());
  q.repeat = command.repeat();
  if (command.has_key()) q.key = command.key();
  q.text = command.text();
  for (const auto& part : command.parts()) {
    coordination::QueryPart p{part.shard(), part.weight(), {}};
    if (part.has_hint_us()) p.hint = part.hint_us() / 1000;
    q.parts.push_back(p);
  }
  for (const auto& span : command.spans()) q.spans.push_back({span.from(), span.to()});
  if (command.has_hint_us()) q.hint = command.hint_us() / 1000;
  if (!q.spans.empty() && !spans)
    return {Status::invalid_argument, "no directory of ranges is followed here, a query names parts"};
  std::string what = coordination::unsound(q, shards);
  if (!what.empty()) return {Status::invalid_argument, what};
  return {};
}

std::string flight_data(const ArrowMessage& m, const std::string& metadata) {
  wire::FlightData data;
  data.set_data_header(m.header);
  data.set_data_body(m.body);
  data.set_app_metadata(metadata);
  return frame_message(data.SerializeAsString());
}

}  // namespace

class FlightServer::Connection : public Http2::Handler, public std::enable_shared_from_this<Connection> {
 public:
  explicit Connection(FlightServer& server)
      : server_(server), http2_(server.loop_, *this, true), began_(server.loop_.now()) {}
  void begin(event_loop::UniqueFd fd) { http2_.adopt(std::move(fd)); }
  void wind_down() { http2_.shut_down(); }
  bool busy() const { return !calls_.empty() || http2_.unsent() > 0; }
  void close() {
    while (!calls_.empty()) forget(calls_.begin());
    http2_.close();
  }

  // Guards against connections without a call, and calls without an end, that crowd out real ones.
  void check(event_loop::Millis now) {
    if (!called_ && now - began_ > kFirstCall) return down();
    std::vector<std::int32_t> late;
    for (auto& [id, call] : calls_)
      if (!call.answered && call.query == 0 && now - call.arrived > kHalfCall) late.push_back(id);
    for (std::int32_t id : late)
      if (auto it = calls_.find(id); it != calls_.end())
        refuse(id, it->second, {Status::deadline_exceeded, "a call that does not end"});
  }

  void head(std::int32_t id, const Headers& headers) override {
    if (calls_.count(id)) return;  // trailers of a request mean nothing here
    called_ = true;
    Call& call = calls_[id];
    call.arrived = server_.loop_.now();
    call.headers = headers;
  }

  void data(std::int32_t id, std::string_view bytes) override {
    auto it = calls_.find(id);
    if (it == calls_.end() || it->second.answered) return;
    it->second.in.append(bytes);
    if (it->second.in.size() > kRequestMost) {
      it->second.in.clear();
      refuse(id, it->second, {Status::resource_exhausted, "the request is too large"});
    }
  }

  void peer_done(std::int32_t id) override {
    auto it = calls_.find(id);
    if (it != calls_.end() && !it->second.answered) serve(id, it->second);
  }

  // The answer is out, or the client has cancelled: then the query's parts are given up.
  void closed(std::int32_t id, std::uint32_t) override {
    auto it = calls_.find(id);
    if (it != calls_.end()) forget(it);
  }

  void down() override {
    close();
    server_.drop(*this);
  }

 private:
  struct Call {
    Headers headers;
    std::string in, id;
    event_loop::Millis arrived = 0, due = 0;
    coordination::QueryNumber query = 0;
    bool answered = false;
    Layout layout = Layout::shards;
    event_loop::TimerId untaken_timer{};  // armed once the call is answered
  };

  void forget(std::map<std::int32_t, Call>::iterator it) {
    if (it->second.query != 0) server_.router_.withdraw(it->second.query);
    server_.loop_.cancel(it->second.untaken_timer);
    server_.live_ids_.erase(it->second.id);
    calls_.erase(it);
  }

  void serve(std::int32_t id, Call& call) {
    const std::string* type = find_header(call.headers, "content-type");
    const std::string* path = find_header(call.headers, ":path");
    if (!type || type->rfind("application/grpc", 0) != 0 || !path) {
      call.answered = true;
      http2_.respond(id, {{":status", "415"}}, "", {});
      return;
    }
    std::string method = path->rfind(kService, 0) == 0 ? path->substr(sizeof kService - 1) : "";
    if (method != "GetFlightInfo" && method != "GetSchema" && method != "DoGet")
      return refuse(id, call, {Status::unimplemented, "not offered here"});
    bool bad = false;
    auto message = take_message(call.in, kRequestMost, bad);
    if (!message || !call.in.empty())
      return refuse(id, call, {Status::invalid_argument, "one message is wanted"});
    if (method == "DoGet") return run(id, call, *message);
    describe(id, call, method, *message);
  }

  void describe(std::int32_t id, Call& call, const std::string& method, const std::string& message) {
    wire::FlightDescriptor descriptor;
    if (!descriptor.ParseFromString(message) || descriptor.type() != wire::FlightDescriptor::CMD)
      return refuse(id, call, {Status::invalid_argument, "a descriptor with a command is wanted"});
    coordination::QuerySpec spec;
    Refusal r =
        read_command(descriptor.cmd(), server_.router_.settings(), server_.shards_, server_.spans_, spec);
    if (r.status != Status::ok) return refuse(id, call, r);
    Layout layout = spec.spans.empty() ? Layout::shards : Layout::spans;
    if (method == "GetSchema") {
      wire::SchemaResult result;
      result.set_schema(encapsulated_schema(layout));
      return respond(id, call, frame_message(result.SerializeAsString()), status_trailers(Status::ok, ""));
    }
    wire::FlightInfo info;
    info.set_schema(encapsulated_schema(layout));
    *info.mutable_flight_descriptor() = descriptor;
    // No location: the ticket is redeemed where it was given.
    info.add_endpoint()->mutable_ticket()->set_ticket(descriptor.cmd());
    info.set_total_records(-1);
    info.set_total_bytes(-1);
    respond(id, call, frame_message(info.SerializeAsString()), status_trailers(Status::ok, ""));
  }

  void run(std::int32_t id, Call& call, const std::string& message) {
    wire::Ticket ticket;
    coordination::QuerySpec spec;
    if (!ticket.ParseFromString(message)) return refuse(id, call, {Status::invalid_argument, "no ticket"});
    Refusal r =
        read_command(ticket.ticket(), server_.router_.settings(), server_.shards_, server_.spans_, spec);
    if (r.status != Status::ok) return refuse(id, call, r);
    double timeout = server_.router_.settings().classes[static_cast<std::size_t>(spec.query_class)].deadline;
    if (const std::string* text = find_header(call.headers, "grpc-timeout")) {
      auto read = read_timeout(*text);
      if (!read) return refuse(id, call, {Status::invalid_argument, "grpc-timeout"});
      if (*read <= 0) return refuse(id, call, {Status::deadline_exceeded, "no time is left"});
      timeout = *read;
    }
    const std::string* named = find_header(call.headers, "x-request-id");
    spec.id = named ? *named : server_.next_id();
    if (!coordination::fit_name(spec.id)) return refuse(id, call, {Status::invalid_argument, "x-request-id"});
    if (!server_.live_ids_.insert(spec.id).second)
      return refuse(id, call, {Status::already_exists, "a query of that name is running"});
    call.id = spec.id;
    call.layout = spec.spans.empty() ? Layout::shards : Layout::spans;
    spec.give_up_at = call.due = coordination::due(call.arrived, timeout);
    // The router gives each query its one result at give_up_at, so no timer of the call's own ends it: a
    // timer that fired first, in a process that runs late, would reset the stream in place of the answer.
    call.query = server_.router_.submit(std::move(spec), [this, id](coordination::QueryResult v) {
      auto it = calls_.find(id);
      if (it != calls_.end()) answer(id, it->second, v);
    });
  }

  void answer(std::int32_t id, Call& call, const coordination::QueryResult& v) {
    call.query = 0;
    if (v.kind == coordination::QueryResult::Kind::refused)
      return respond(
          id, call, "",
          status_trailers(Status::unavailable, v.why.empty() ? "refused, try again" : v.why, v.retry_after));
    if (v.kind == coordination::QueryResult::Kind::invalid)
      return respond(id, call, "", status_trailers(Status::invalid_argument, v.why));
    if (v.kind == coordination::QueryResult::Kind::failed) {
      bool late = server_.loop_.now() >= call.due - kDueSlack;
      return respond(id, call, "",
                     late ? status_trailers(Status::deadline_exceeded, "out of time")
                          : status_trailers(Status::internal, "the query failed"));
    }
    std::string exact = v.complete ? "true" : "false", share = std::to_string(v.share);
    std::vector<ArrowRow> rows;
    for (const coordination::PartialResult& row : v.rows)
      for (const std::string& value : row.values)
        rows.push_back({row.shard, value, row.span,
                        call.layout == Layout::spans ? ranges::text_of(row.revision) : std::string()});
    std::string body =
        flight_data(schema_message(call.layout), "") +
        flight_data(batch_message(rows, call.layout), "{\"exact\":" + exact + ",\"share\":" + share + "}");
    Headers trailers = status_trailers(Status::ok, "");
    trailers.emplace_back("answer-exact", exact);
    trailers.emplace_back("answer-share", share);
    respond(id, call, std::move(body), trailers);
  }

  void refuse(std::int32_t id, Call& call, const Refusal& r) {
    spdlog::warn("Flight call answered with status {}: {}", static_cast<int>(r.status), r.message);
    respond(id, call, "", status_trailers(r.status, r.message));
  }

  void respond(std::int32_t id, Call& call, std::string body, const Headers& trailers) {
    call.answered = true;
    release_untaken_after(id, call);
    http2_.respond(id, {{":status", "200"}, {"content-type", "application/grpc"}}, std::move(body), trailers);
    http2_.pump();
  }

  // Resets the stream of a client that doesn't take its answer: at the call's deadline, but never sooner than
  // kAnswerTakenWithin after the answer was given.
  void release_untaken_after(std::int32_t id, Call& call) {
    event_loop::Millis now = server_.loop_.now();
    call.untaken_timer = server_.loop_.at(std::max(call.due, now + kAnswerTakenWithin), [this, id] {
      http2_.reset(id, NGHTTP2_CANCEL);
      http2_.pump();
    });
  }

  FlightServer& server_;
  Http2 http2_;
  event_loop::Millis began_;
  bool called_ = false;
  std::map<std::int32_t, Call> calls_;
};

FlightServer::FlightServer(event_loop::Loop& loop, coordination::RequestRouter& router,
                           const sockaddr_in& address, int shards, std::uint64_t seed,
                           std::size_t connections, bool spans, bool shared)
    : loop_(loop),
      router_(router),
      shards_(shards),
      spans_(spans),
      seed_(seed),
      most_(connections),
      listener_(
          loop, address, [this](event_loop::UniqueFd fd) { accept(std::move(fd)); }, shared) {
  sweep();
}

void FlightServer::sweep() {
  auto copy = connections_;
  for (const auto& c : copy) c->check(loop_.now());
  sweep_ = loop_.at(loop_.now() + kSweep, [this] { sweep(); });
}

FlightServer::~FlightServer() {
  loop_.cancel(sweep_);
  for (auto& c : connections_) c->close();
}

void FlightServer::accept(event_loop::UniqueFd fd) {
  if (connections_.size() >= most_ || winding_down_) return;  // closed again: within our descriptors
  auto c = std::make_shared<Connection>(*this);
  connections_.insert(c);
  c->begin(std::move(fd));
}

void FlightServer::drop(Connection& connection) {
  auto c = connection.shared_from_this();
  if (connections_.erase(c) > 0) loop_.destroy_later(std::move(c));
}

std::string FlightServer::next_id() { return "f" + std::to_string(seed_) + "-" + std::to_string(++count_); }

void FlightServer::wind_down() {
  winding_down_ = true;
  auto copy = connections_;
  for (const auto& c : copy) c->wind_down();
}

bool FlightServer::busy() const {
  for (const auto& c : connections_)
    if (c->busy()) return true;
  return false;
}

}  // namespace winchhall::flight
