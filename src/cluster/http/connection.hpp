// One connection of a client: reads a request, hands it on, writes its answer, and so on until either side
// closes.
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

// `lingering`: the last answer is sent, and what still comes is read and dropped, as closing a socket with
// unread bytes would reset the connection and could destroy that answer on its way.
enum class ConnectionPhase { idle, reading, handling, writing, lingering, closed };

class Connection : public std::enable_shared_from_this<Connection> {
 public:
  using Socket = boost::asio::ip::tcp::socket;

  Connection(std::shared_ptr<HttpServerState> core, Socket socket);

  // Enters the server's lists and waits for the first request.
  void start();
  // Ends a connection at rest gracefully.
  void close_idle();
  // Ends the connection at once.
  void close();
  // Ends the connection if its present phase has lasted too long.
  void check_deadline(TimePoint now);

  // Used by the replier: the answer to the request under way, or word that none will come.
  void answer(std::uint64_t exchange, const HttpResponse& response);
  void abandon(std::uint64_t exchange);

 private:
  using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

  void rest();
  void wait_readable();
  void on_readable(const boost::system::error_code& error);
  void on_end_of_input(const boost::system::error_code& error);
  void take(std::string_view bytes);
  void start_parser();
  // Feeds the parser; returns how many bytes it used.
  std::size_t parse(std::string_view bytes, boost::system::error_code& error);
  void continue_if_expected();
  void dispatch_request();
  void fail(const boost::system::error_code& error);
  void refuse(unsigned status);
  void send(const HttpResponse& response);
  void on_written(const boost::system::error_code& error);
  void linger();
  void move_to(ConnectionList& list);
  void enter(ConnectionPhase phase, Millis limit);

  std::shared_ptr<HttpServerState> core_;
  Socket socket_;
  ConnectionPhase phase_ = ConnectionPhase::idle;
  TimePoint deadline_ = TimePoint::max();
  ConnectionList* list_ = nullptr;
  ConnectionList::iterator position_;
  std::optional<Parser> parser_;
  std::string unparsed_;  // read but not yet used
  std::string output_;
  ResponseFraming form_;
  std::uint64_t exchange_ = 0;  // number of the request under way
  bool counted_ = false;        // in HttpServerState::open_requests
  bool continue_sent_ = false;
};

}  // namespace winchhall::cluster
