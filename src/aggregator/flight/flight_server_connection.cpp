#include "aggregator/flight/flight_server_connection.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <optional>
#include <variant>
#include <vector>

#include "aggregator/coordination/query_validation.hpp"
#include "flight.pb.h"

namespace winchhall::flight {
namespace {

namespace wire = arrow::flight::protocol;
constexpr std::string_view kServicePrefix = "/arrow.flight.protocol.FlightService/";
constexpr std::size_t kMaxRequestBytes = 96 * 1024;
constexpr event_loop::Millis kFirstCallTimeout = 2000;  // ms from connecting to the first call
constexpr event_loop::Millis kRequestTimeout = 2000;    // ms from a call's headers to the request's end
constexpr event_loop::Millis kResponseTimeout = 1000;   // ms for the client to receive a response
// A query that fails within this time (ms) before its deadline is reported as deadline_exceeded.
constexpr event_loop::Millis kDeadlineSlack = 50;

const Headers kResponseHeaders{{":status", "200"}, {"content-type", "application/grpc"}};

std::string encode_flight_data(const ArrowMessage& message, const std::string& metadata) {
  wire::FlightData data;
  data.set_data_header(message.header);
  data.set_data_body(message.body);
  data.set_app_metadata(metadata);
  return frame_message(data.SerializeAsString());
}

std::vector<ArrowRow> to_arrow_rows(const coordination::QueryResult& result, Layout layout) {
  std::vector<ArrowRow> rows;
  for (const coordination::PartialResult& part : result.rows)
    for (const std::string& value : part.values)
      rows.push_back({part.shard, value, part.span,
                      layout == Layout::spans ? ranges::text_of(part.revision) : std::string()});
  return rows;
}

Layout layout_of(const coordination::QuerySpec& query) {
  return query.spans.empty() ? Layout::shards : Layout::spans;
}

// The method that a request names, or empty if it isn't one of the Flight service.
std::string method_of(const std::string& path) {
  return path.rfind(kServicePrefix, 0) == 0 ? path.substr(kServicePrefix.size()) : "";
}

}  // namespace

FlightServer::Connection::Connection(FlightServer& server)
    : server_(server),
      http2_(server.loop_, *this, Http2Connection::Side::server),
      accepted_at_(server.loop_.now()) {}

void FlightServer::Connection::close() {
  while (!calls_.empty()) forget(calls_.begin());
  http2_.close();
}

void FlightServer::Connection::check(event_loop::Millis now) {
  if (!is_first_call_overdue(now) && overdue_calls(now).empty()) return;
  http2_.read_arrived();  // first: a process that runs late may not have read everything
  if (is_first_call_overdue(now)) return on_disconnected();
  for (StreamId stream : overdue_calls(now))
    if (auto it = calls_.find(stream); it != calls_.end())
      reject(stream, it->second, {Status::deadline_exceeded, "a call that does not end"});
}

bool FlightServer::Connection::is_first_call_overdue(event_loop::Millis now) const {
  return !has_called_ && now - accepted_at_ > kFirstCallTimeout;
}

std::vector<StreamId> FlightServer::Connection::overdue_calls(event_loop::Millis now) const {
  std::vector<StreamId> overdue;
  for (const auto& [stream, call] : calls_)
    if (!call.is_answered && call.query == 0 && now - call.arrived_at > kRequestTimeout)
      overdue.push_back(stream);
  return overdue;
}

// ---- Events of the connection

void FlightServer::Connection::on_headers(StreamId stream, const Headers& headers) {
  if (calls_.count(stream)) return;  // trailers of a request are ignored
  has_called_ = true;
  Call& call = calls_[stream];
  call.arrived_at = server_.loop_.now();
  call.headers = headers;
}

void FlightServer::Connection::on_data(StreamId stream, std::string_view bytes) {
  auto it = calls_.find(stream);
  if (it == calls_.end() || it->second.is_answered) return;
  Call& call = it->second;
  call.request.append(bytes);
  if (call.request.size() <= kMaxRequestBytes) return;
  call.request.clear();
  reject(stream, call, {Status::resource_exhausted, "the request is too large"});
}

void FlightServer::Connection::on_end_stream(StreamId stream) {
  auto it = calls_.find(stream);
  if (it != calls_.end() && !it->second.is_answered) serve(stream, it->second);
}

void FlightServer::Connection::on_stream_closed(StreamId stream, std::uint32_t) {
  if (auto it = calls_.find(stream); it != calls_.end()) forget(it);
}

void FlightServer::Connection::on_disconnected() {
  close();
  server_.remove(*this);
}

// ---- Calls

// Called when the response has been sent, or the client has cancelled; in the latter case the query is
// withdrawn.
void FlightServer::Connection::forget(Calls::iterator it) {
  Call& call = it->second;
  if (call.query != 0) server_.router_.withdraw(call.query);
  server_.loop_.cancel(call.response_timer);
  server_.open_query_ids_.erase(call.query_id);
  calls_.erase(it);
}

void FlightServer::Connection::serve(StreamId stream, Call& call) {
  const std::string* type = find_header(call.headers, "content-type");
  const std::string* path = find_header(call.headers, ":path");
  if (!type || type->rfind("application/grpc", 0) != 0 || !path) {
    call.is_answered = true;
    http2_.submit_response(stream, {{":status", "415"}}, "", {});
    return;
  }
  const std::string method = method_of(*path);
  if (method != "GetFlightInfo" && method != "GetSchema" && method != "DoGet")
    return reject(stream, call, {Status::unimplemented, "not offered here"});
  bool malformed = false;
  auto message = take_message(call.request, kMaxRequestBytes, malformed);
  if (!message || !call.request.empty())
    return reject(stream, call, {Status::invalid_argument, "one message is wanted"});
  if (method == "DoGet") return run_query(stream, call, *message);
  describe(stream, call, method, *message);
}

QueryCommandRules FlightServer::Connection::command_rules() const {
  return {server_.router_.settings(), server_.options_.shard_count, server_.options_.allows_spans};
}

void FlightServer::Connection::describe(StreamId stream, Call& call, const std::string& method,
                                        const std::string& message) {
  wire::FlightDescriptor descriptor;
  if (!descriptor.ParseFromString(message) || descriptor.type() != wire::FlightDescriptor::CMD)
    return reject(stream, call, {Status::invalid_argument, "a descriptor with a command is wanted"});
  const auto query = read_query_command(descriptor.cmd(), command_rules());
  if (const auto* error = std::get_if<CallError>(&query)) return reject(stream, call, *error);
  const std::string schema = encapsulated_schema(layout_of(std::get<coordination::QuerySpec>(query)));
  if (method == "GetSchema") {
    wire::SchemaResult result;
    result.set_schema(schema);
    return respond(stream, call, frame_message(result.SerializeAsString()), status_trailers(Status::ok, ""));
  }
  wire::FlightInfo info;
  info.set_schema(schema);
  *info.mutable_flight_descriptor() = descriptor;
  // Without a location, the ticket is valid at the server that issued it.
  info.add_endpoint()->mutable_ticket()->set_ticket(descriptor.cmd());
  info.set_total_records(-1);
  info.set_total_bytes(-1);
  respond(stream, call, frame_message(info.SerializeAsString()), status_trailers(Status::ok, ""));
}

bool FlightServer::Connection::read_call_timeout(StreamId stream, Call& call, event_loop::Millis& timeout) {
  const std::string* text = find_header(call.headers, "grpc-timeout");
  if (!text) return true;
  const std::optional<double> stated = read_timeout(*text);
  if (!stated) {
    reject(stream, call, {Status::invalid_argument, "grpc-timeout"});
    return false;
  }
  if (*stated <= 0) {
    reject(stream, call, {Status::deadline_exceeded, "no time is left"});
    return false;
  }
  timeout = *stated;
  return true;
}

bool FlightServer::Connection::assign_query_id(StreamId stream, Call& call) {
  const std::string* stated = find_header(call.headers, "x-request-id");
  std::string id = stated ? *stated : server_.next_query_id();
  if (!coordination::is_valid_query_id(id)) {
    reject(stream, call, {Status::invalid_argument, "x-request-id"});
    return false;
  }
  if (!server_.open_query_ids_.insert(id).second) {
    reject(stream, call, {Status::already_exists, "a query of that name is running"});
    return false;
  }
  call.query_id = std::move(id);
  return true;
}

// The router gives each query exactly one result, at `give_up_at` or before. The call therefore has no timer
// of its own: in a process that runs late it would fire before the router and reset the stream instead of
// answering.
void FlightServer::Connection::run_query(StreamId stream, Call& call, const std::string& message) {
  wire::Ticket ticket;
  if (!ticket.ParseFromString(message)) return reject(stream, call, {Status::invalid_argument, "no ticket"});
  auto command = read_query_command(ticket.ticket(), command_rules());
  if (const auto* error = std::get_if<CallError>(&command)) return reject(stream, call, *error);
  auto& query = std::get<coordination::QuerySpec>(command);
  event_loop::Millis timeout =
      server_.router_.settings().classes[static_cast<std::size_t>(query.query_class)].deadline;
  if (!read_call_timeout(stream, call, timeout) || !assign_query_id(stream, call)) return;
  query.id = call.query_id;
  call.layout = layout_of(query);
  query.give_up_at = call.deadline = coordination::answer_deadline(call.arrived_at, timeout);
  call.query =
      server_.router_.submit(std::move(query), [this, stream](const coordination::QueryResult& result) {
        if (auto it = calls_.find(stream); it != calls_.end()) answer(stream, it->second, result);
      });
}

// ---- Responses

void FlightServer::Connection::answer(StreamId stream, Call& call, const coordination::QueryResult& result) {
  using Kind = coordination::QueryResult::Kind;
  call.query = 0;
  if (result.kind == Kind::answered) return respond_with_rows(stream, call, result);
  Headers trailers;
  if (result.kind == Kind::refused) {
    const std::string reason = result.why.empty() ? "refused, try again" : result.why;
    trailers = status_trailers(Status::unavailable, reason, result.retry_after);
  } else if (result.kind == Kind::invalid) {
    trailers = status_trailers(Status::invalid_argument, result.why);
  } else if (server_.loop_.now() >= call.deadline - kDeadlineSlack) {
    trailers = status_trailers(Status::deadline_exceeded, "out of time");
  } else {
    trailers = status_trailers(Status::internal, "the query failed");
  }
  respond(stream, call, "", trailers);
}

void FlightServer::Connection::respond_with_rows(StreamId stream, Call& call,
                                                 const coordination::QueryResult& result) {
  const std::string exact = result.complete ? "true" : "false";
  const std::string share = std::to_string(result.share);
  const std::string metadata = "{\"exact\":" + exact + ",\"share\":" + share + "}";
  const ArrowMessage batch = batch_message(to_arrow_rows(result, call.layout), call.layout);
  std::string body =
      encode_flight_data(schema_message(call.layout), "") + encode_flight_data(batch, metadata);
  Headers trailers = status_trailers(Status::ok, "");
  trailers.emplace_back("answer-exact", exact);
  trailers.emplace_back("answer-share", share);
  respond(stream, call, std::move(body), trailers);
}

void FlightServer::Connection::reject(StreamId stream, Call& call, const CallError& error) {
  spdlog::warn("Flight call answered with status {}: {}", static_cast<int>(error.status), error.message);
  respond(stream, call, "", status_trailers(error.status, error.message));
}

void FlightServer::Connection::respond(StreamId stream, Call& call, std::string body,
                                       const Headers& trailers) {
  call.is_answered = true;
  limit_response_time(stream, call);
  http2_.submit_response(stream, kResponseHeaders, std::move(body), trailers);
  http2_.send_pending();
}

// Resets the stream of a client that doesn't receive its response: at the call's deadline, but not before
// kResponseTimeout has passed since the response.
void FlightServer::Connection::limit_response_time(StreamId stream, Call& call) {
  const event_loop::Millis end = std::max(call.deadline, server_.loop_.now() + kResponseTimeout);
  call.response_timer = server_.loop_.run_at(end, [this, stream] {
    http2_.reset_stream(stream, NGHTTP2_CANCEL);
    http2_.send_pending();
  });
}

}  // namespace winchhall::flight
