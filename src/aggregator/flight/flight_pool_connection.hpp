// One connection to a ledger node, with the parts in flight on it.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "aggregator/flight/arrow.hpp"
#include "aggregator/flight/flight_pool.hpp"
#include "aggregator/flight/grpc.hpp"
#include "aggregator/flight/http2_connection.hpp"

namespace winchhall::flight {

// The response to one part, as far as it has been received. Sizes are in bytes.
class PartResponse {
 public:
  PartResponse(int shard, const ranges::Span& span) : shard_(shard), span_(span) {}

  void add_headers(const Headers& headers);
  // False once the bytes are no answer to a part: malformed, in the wrong order, or too many.
  bool add_data(std::string_view bytes);
  // The result after the stream's end, by its status and rows. Moves the rows out.
  coordination::AttemptResult take_result();

 private:
  bool add_message(const std::string& message);
  // All messages are complete, and every row is of the requested shard or span.
  bool is_valid() const;

  int shard_;
  ranges::Span span_;  // empty for a part of a shard
  Headers headers_;
  std::string pending_;       // an incomplete message
  std::size_t received_ = 0;  // bytes
  bool has_schema_ = false;
  std::vector<ArrowRow> rows_;
};

// Owns one HTTP/2 connection and the calls on it. Removes itself from the pool when it is disconnected.
class FlightPool::Connection : public Http2Connection::Handler {
 public:
  Connection(FlightPool& pool, std::string server, std::string endpoint);
  // False if no socket was available or the endpoint is no address.
  bool connect();
  void close();

  bool has_capacity_for(const coordination::AttemptRequest& request) const;
  void send(const coordination::AttemptRequest& request);
  void send_pending() { http2_.send_pending(); }
  // Cancels an attempt at the node.
  void abandon(coordination::AttemptNumber attempt);
  // Drops an attempt that was not sent.
  void recall(coordination::AttemptNumber attempt);
  // No new attempts are sent on this connection from now on.
  void retire() { is_retired_ = true; }

  const std::string& server() const { return server_; }
  bool was_connected() const { return was_connected_; }
  bool is_retired() const { return is_retired_; }
  bool is_idle() const { return calls_.empty(); }
  bool is_idle_since(event_loop::Millis time) const { return is_idle() && last_used_at_ <= time; }

  void on_connected() override;
  void on_headers(StreamId stream, const Headers& headers) override;
  void on_data(StreamId stream, std::string_view bytes) override;
  void on_end_stream(StreamId stream) override;
  void on_stream_closed(StreamId stream, std::uint32_t error) override;
  void on_goaway() override { is_retired_ = true; }
  void on_disconnected() override;

 private:
  struct Call {
    coordination::AttemptNumber attempt = 0;
    event_loop::Millis sent_at = 0, send_by = 0;
    PartResponse response;
  };
  using Calls = std::map<StreamId, Call>;

  Calls::iterator find_call(coordination::AttemptNumber attempt);
  Headers request_headers(const coordination::AttemptRequest& request) const;
  void finish(Calls::iterator call, coordination::AttemptResult result);

  const std::string server_, endpoint_;
  FlightPool& pool_;
  Http2Connection http2_;
  event_loop::TimerId connect_timer_{};
  Calls calls_;
  event_loop::Millis last_used_at_;
  coordination::UnresponsivenessDetector unresponsiveness_;
  bool is_retired_ = false, was_connected_ = false;
};

}  // namespace winchhall::flight
