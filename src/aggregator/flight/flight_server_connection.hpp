// One client's connection to the Flight front end, with its calls.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "aggregator/flight/arrow.hpp"
#include "aggregator/flight/flight_server.hpp"
#include "aggregator/flight/grpc.hpp"
#include "aggregator/flight/query_command.hpp"

namespace winchhall::flight {

// A call is one stream. It ends with its one response, or with the client's reset, which withdraws the query.
class FlightServer::Connection : public Http2Connection::Handler,
                                 public std::enable_shared_from_this<Connection> {
 public:
  explicit Connection(FlightServer& server);
  void begin(event_loop::UniqueFd fd) { http2_.adopt(std::move(fd)); }
  void begin_drain() { http2_.send_goaway(); }
  bool busy() const { return !calls_.empty() || http2_.unsent() > 0; }
  void close();
  // Ends a connection without a call, and calls whose request isn't completed in time: they would take the
  // place of others.
  void check(event_loop::Millis now);

  void on_headers(StreamId stream, const Headers& headers) override;
  void on_data(StreamId stream, std::string_view bytes) override;
  void on_end_stream(StreamId stream) override;
  void on_stream_closed(StreamId stream, std::uint32_t error) override;
  void on_disconnected() override;

 private:
  struct Call {
    Headers headers;
    std::string request;   // bytes received so far
    std::string query_id;  // empty: no query was submitted
    event_loop::Millis arrived_at = 0, deadline = 0;
    coordination::QueryNumber query = 0;  // 0: none is open
    bool is_answered = false;
    Layout layout = Layout::shards;
    event_loop::TimerId response_timer{};  // armed by respond()
  };
  using Calls = std::map<StreamId, Call>;

  bool is_first_call_overdue(event_loop::Millis now) const;
  // The calls whose request wasn't completed within the time limit.
  std::vector<StreamId> overdue_calls(event_loop::Millis now) const;
  void forget(Calls::iterator call);
  void serve(StreamId stream, Call& call);
  void describe(StreamId stream, Call& call, const std::string& method, const std::string& message);
  void run_query(StreamId stream, Call& call, const std::string& message);
  // Sets `timeout` to the call's in ms. False if the call was rejected.
  bool read_call_timeout(StreamId stream, Call& call, event_loop::Millis& timeout);
  // Takes the id from the request's headers or makes one. False if the call was rejected.
  bool assign_query_id(StreamId stream, Call& call);
  void answer(StreamId stream, Call& call, const coordination::QueryResult& result);
  void respond_with_rows(StreamId stream, Call& call, const coordination::QueryResult& result);
  void reject(StreamId stream, Call& call, const CallError& error);
  void respond(StreamId stream, Call& call, std::string body, const Headers& trailers);
  void limit_response_time(StreamId stream, Call& call);
  QueryCommandRules command_rules() const;

  FlightServer& server_;
  Http2Connection http2_;
  event_loop::Millis accepted_at_;
  bool has_called_ = false;
  Calls calls_;
};

}  // namespace winchhall::flight
