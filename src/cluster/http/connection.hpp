// One client connection of the HTTP server.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "cluster/http/response_serializer.hpp"
#include "cluster/http/server_state.hpp"

namespace winchhall::cluster {

// What a connection does at present. Each phase but `handling` and `closed` has a time limit.
enum class ConnectionPhase {
  idle,       // waits for a request
  reading,    // has received a part of a request
  handling,   // waits for the handler's response
  writing,    // sends the response
  lingering,  // has sent its last response, and discards input until the client closes
  closed
};

// Reads requests and writes their responses, one after the other, until either side closes.
//
// A connection lingers before it closes (RFC 9112, section 9.6): closing a socket with unread input sends a
// reset, which could destroy the last response before the client has read it.
//
// It keeps itself alive through its pending operations and its entry in one of the server's lists.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  using Socket = boost::asio::ip::tcp::socket;

  Connection(std::shared_ptr<HttpServerState> state, Socket socket);

  // Enters the server's list of idle connections and waits for the first request.
  void start();
  // Closes the connection gracefully if it is idle.
  void close_idle();
  // Closes the connection immediately.
  void close();
  // Ends the connection if its current phase has exceeded its time limit.
  void check_deadline(TimePoint now);

  // Sends the response to the request with this number. No effect if that request is no longer being handled.
  void respond(std::uint64_t request_number, const HttpResponse& response);
  // Closes the connection: the request with this number will get no response.
  void abandon(std::uint64_t request_number);

 private:
  using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

  void enter_phase(ConnectionPhase phase, Millis limit);
  void move_to(ConnectionList& list);
  void become_idle();

  void wait_readable();
  void on_readable(const boost::system::error_code& error);
  void on_end_of_input(const boost::system::error_code& error);
  void consume(std::string_view bytes);
  void start_parser();
  // Feeds the parser; returns the number of bytes that it consumed.
  std::size_t parse(std::string_view bytes, boost::system::error_code& error);
  void send_continue_if_expected();

  void dispatch_request();
  void reject(unsigned status);
  void send(const HttpResponse& response);
  void on_written(const boost::system::error_code& error);
  void count_request_finished();
  void linger();

  std::shared_ptr<HttpServerState> state_;
  Socket socket_;
  ConnectionPhase phase_ = ConnectionPhase::idle;
  TimePoint deadline_ = TimePoint::max();
  ConnectionList* list_ = nullptr;  // the server's list that holds this connection
  ConnectionList::iterator position_;
  std::optional<Parser> parser_;
  std::string unparsed_;  // input that the parser has not consumed
  std::string output_;
  ResponseFraming framing_;
  std::uint64_t request_number_ = 0;  // number of the last request handled; the first one has 1
  bool counted_ = false;              // whether HttpServerState::open_requests includes the request
  bool continue_sent_ = false;
};

}  // namespace winchhall::cluster
