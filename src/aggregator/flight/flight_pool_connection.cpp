#include "aggregator/flight/flight_pool_connection.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "aggregator/http/frames.hpp"
#include "command.pb.h"
#include "flight.pb.h"

namespace winchhall::flight {

using coordination::AttemptNumber;
using coordination::AttemptRequest;
using coordination::AttemptResult;
using coordination::Outcome;

namespace {

namespace wire = arrow::flight::protocol;
constexpr std::size_t kMaxPartBytes = 512 * 1024;  // of one part's rows

std::string encode_ticket(const AttemptRequest& request) {
  PartCommand command;
  command.set_part(request.part);
  command.set_shard(request.shard);
  command.set_text(*request.text);
  if (!request.span.empty()) {
    auto* interval = command.mutable_interval();
    interval->set_from(request.span.from);
    interval->set_to(request.span.to);
    interval->set_range(request.range);
    interval->set_incarnation(request.revision.incarnation);
    interval->set_revision(request.revision.number);
  }
  wire::Ticket ticket;
  ticket.set_ticket(command.SerializeAsString());
  return ticket.SerializeAsString();
}

bool has_status(const Headers& headers, Status status) {
  const std::string* text = find_header(headers, "grpc-status");
  return text && *text == std::to_string(static_cast<int>(status));
}

}  // namespace

// ---- PartResponse

void PartResponse::add_headers(const Headers& headers) {
  headers_.insert(headers_.end(), headers.begin(), headers.end());
}

bool PartResponse::add_data(std::string_view bytes) {
  pending_.append(bytes);
  received_ += bytes.size();
  if (received_ > kMaxPartBytes) return false;
  bool malformed = false;
  while (auto message = take_message(pending_, kMaxPartBytes, malformed))
    if (!add_message(*message)) return false;
  return !malformed;
}

// The schema comes first, and once.
bool PartResponse::add_message(const std::string& message) {
  wire::FlightData data;
  if (!data.ParseFromString(message)) return false;
  const Layout layout = span_.empty() ? Layout::shards : Layout::spans;
  const ArrowKind kind = read_arrow(data.data_header(), data.data_body(), rows_, layout);
  const ArrowKind expected = has_schema_ ? ArrowKind::batch : ArrowKind::schema;
  has_schema_ = true;
  return kind == expected;
}

bool PartResponse::is_valid() const {
  if (!has_schema_ || !pending_.empty()) return false;
  return std::all_of(rows_.begin(), rows_.end(), [this](const ArrowRow& row) {
    return span_.empty() ? row.shard == shard_ : row.span == span_;
  });
}

// A status of rejection counts only if no data was received: then the part was not executed.
AttemptResult PartResponse::take_result() {
  AttemptResult result;
  result.outcome = Outcome::error;
  if (const std::string* load = find_header(headers_, "node-load")) result.load = http::read_load(*load);
  const bool has_data = received_ > 0;
  if (has_status(headers_, Status::ok)) {
    if (!is_valid()) return result;
    for (ArrowRow& row : rows_) result.values.push_back(std::move(row.data));
    result.outcome = Outcome::ok;
  } else if (has_status(headers_, Status::deadline_exceeded)) {
    result.outcome = Outcome::timeout;
  } else if (!has_data && (has_status(headers_, Status::unavailable) ||
                           has_status(headers_, Status::resource_exhausted))) {
    result.outcome = Outcome::full;
  } else if (!has_data && !span_.empty() && has_status(headers_, Status::failed_precondition)) {
    result.outcome = Outcome::not_mine;
    result.denial = std::make_shared<const ranges::Denial>(read_denial(headers_));
  }
  return result;
}

// ---- Connection

FlightPool::Connection::Connection(FlightPool& pool, std::string server, std::string endpoint)
    : server_(std::move(server)),
      endpoint_(std::move(endpoint)),
      pool_(pool),
      http2_(pool.loop_, *this, Http2Connection::Side::client),
      last_used_at_(pool.loop_.now()) {}

bool FlightPool::Connection::connect() {
  auto address = event_loop::parse_address(endpoint_);
  if (!address || !http2_.connect(*address)) return false;
  // Connecting to an unreachable host may neither succeed nor fail, so the time is limited.
  connect_timer_ = pool_.loop_.run_at(pool_.loop_.now() + pool_.limits_.connect_timeout, [this] {
    connect_timer_ = {};
    on_disconnected();
  });
  return true;
}

void FlightPool::Connection::close() {
  pool_.loop_.cancel(connect_timer_);
  http2_.close();
}

bool FlightPool::Connection::has_capacity_for(const AttemptRequest& request) const {
  return !is_retired_ && server_ == request.server && endpoint_ == request.endpoint && http2_.open() &&
         calls_.size() < pool_.limits_.max_parts_per_connection;
}

Headers FlightPool::Connection::request_headers(const AttemptRequest& request) const {
  return {{":method", "POST"},
          {":scheme", "http"},
          {":path", "/arrow.flight.protocol.FlightService/DoGet"},
          {":authority", endpoint_},
          {"te", "trailers"},
          {"content-type", "application/grpc"},
          {"grpc-timeout", write_timeout(request.until - pool_.loop_.now())}};
}

void FlightPool::Connection::send(const AttemptRequest& request) {
  const StreamId stream =
      http2_.submit_request(request_headers(request), frame_message(encode_ticket(request)));
  if (stream < 0)
    return pool_.router_.attempt_ended(request.attempt, {.outcome = Outcome::unsent, .written = false});
  last_used_at_ = pool_.loop_.now();
  calls_.insert_or_assign(
      stream, Call{request.attempt, last_used_at_, request.send_by, {request.shard, request.span}});
  pool_.connection_of_[request.attempt] = this;
}

FlightPool::Connection::Calls::iterator FlightPool::Connection::find_call(AttemptNumber attempt) {
  return std::find_if(calls_.begin(), calls_.end(),
                      [&](const auto& call) { return call.second.attempt == attempt; });
}

void FlightPool::Connection::abandon(AttemptNumber attempt) {
  auto call = find_call(attempt);
  if (call == calls_.end()) return;
  unresponsiveness_.on_attempt_abandoned(call->second.sent_at, pool_.loop_.now());
  is_retired_ = is_retired_ || unresponsiveness_.is_unresponsive();
  http2_.reset_stream(call->first, NGHTTP2_CANCEL);
  calls_.erase(call);
  last_used_at_ = pool_.loop_.now();
  http2_.send_pending();
}

void FlightPool::Connection::recall(AttemptNumber attempt) {
  auto call = find_call(attempt);
  if (call == calls_.end()) return;
  http2_.reset_stream(call->first, NGHTTP2_CANCEL);
  calls_.erase(call);
}

// An attempt that was launched in time would be written too late if connecting took long: it is recalled.
void FlightPool::Connection::on_connected() {
  was_connected_ = true;
  pool_.loop_.cancel(connect_timer_);
  std::vector<AttemptNumber> overdue;
  for (const auto& [stream, call] : calls_)
    if (pool_.loop_.now() > call.send_by) overdue.push_back(call.attempt);
  for (AttemptNumber attempt : overdue) {
    pool_.connection_of_.erase(attempt);
    recall(attempt);
    pool_.router_.attempt_ended(attempt, {.outcome = Outcome::unsent, .written = false});
  }
}

void FlightPool::Connection::on_headers(StreamId stream, const Headers& headers) {
  unresponsiveness_.on_activity(pool_.loop_.now());
  if (auto call = calls_.find(stream); call != calls_.end()) call->second.response.add_headers(headers);
}

void FlightPool::Connection::on_data(StreamId stream, std::string_view bytes) {
  unresponsiveness_.on_activity(pool_.loop_.now());
  auto call = calls_.find(stream);
  if (call == calls_.end() || call->second.response.add_data(bytes)) return;
  spdlog::warn("node {} sent an invalid response to a part: stream cancelled", server_);
  http2_.reset_stream(stream, NGHTTP2_CANCEL);
  finish(call, {.outcome = Outcome::error});
}

void FlightPool::Connection::on_end_stream(StreamId stream) {
  if (auto call = calls_.find(stream); call != calls_.end())
    finish(call, call->second.response.take_result());
}

// If a stream breaks, the rows received so far are dropped with the attempt, so that a further attempt
// doesn't return any of them twice. A refused stream was not executed.
void FlightPool::Connection::on_stream_closed(StreamId stream, std::uint32_t error) {
  auto call = calls_.find(stream);
  if (call == calls_.end()) return;
  finish(call, {.outcome = error == NGHTTP2_REFUSED_STREAM ? Outcome::full : Outcome::reset});
}

// Malformed bytes count as one error of an otherwise healthy node: it is attributed to the oldest written
// part, and the other parts are cancelled.
void FlightPool::Connection::on_disconnected() {
  bool has_error_outcome = false;
  for (const auto& [stream, call] : calls_) {
    const bool is_written = http2_.is_written(stream);
    Outcome outcome = is_written ? Outcome::reset : Outcome::connect_failed;
    if (http2_.has_protocol_error()) {
      outcome = !is_written ? Outcome::unsent : has_error_outcome ? Outcome::cancelled : Outcome::error;
      has_error_outcome |= is_written;
    }
    pool_.connection_of_.erase(call.attempt);
    pool_.router_.attempt_ended(call.attempt, {.outcome = outcome, .written = is_written});
  }
  calls_.clear();
  pool_.remove(*this);
}

void FlightPool::Connection::finish(Calls::iterator call, AttemptResult result) {
  const AttemptNumber attempt = call->second.attempt;
  calls_.erase(call);
  pool_.connection_of_.erase(attempt);
  last_used_at_ = pool_.loop_.now();
  pool_.router_.attempt_ended(attempt, std::move(result));
}

}  // namespace winchhall::flight
