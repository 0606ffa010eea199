#include "cluster/http/connection.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <exception>

namespace winchhall::cluster {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr Millis kLingerTimeout{1000};  // longest wait for the client to close after the last response

// Handle of a request that has no response yet. If it is destroyed without one, the connection is closed.
class PendingResponse {
 public:
  PendingResponse(std::shared_ptr<Connection> connection, std::uint64_t request_number)
      : connection_(std::move(connection)), request_number_(request_number) {}
  PendingResponse(const PendingResponse&) = delete;
  PendingResponse& operator=(const PendingResponse&) = delete;
  ~PendingResponse() {
    if (connection_) connection_->abandon(request_number_);
  }

  void send(const HttpResponse& response) {
    if (!connection_) return;
    const auto connection = std::move(connection_);
    connection->respond(request_number_, response);
  }

 private:
  std::shared_ptr<Connection> connection_;
  std::uint64_t request_number_;
};

unsigned status_of_parse_error(const error_code& error) {
  if (error == http::error::header_limit) return 431;
  if (error == http::error::body_limit) return 413;
  return 400;
}

}  // namespace

Connection::Connection(std::shared_ptr<HttpServerState> state, Socket socket)
    : state_(std::move(state)), socket_(std::move(socket)) {}

void Connection::start() {
  error_code ignored;
  socket_.non_blocking(true, ignored);
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  state_->idle.push_back(shared_from_this());
  list_ = &state_->idle;
  position_ = std::prev(state_->idle.end());
  enter_phase(ConnectionPhase::idle, Millis(state_->limits.idle_timeout_ms));
  wait_readable();
}

void Connection::close_idle() {
  if (phase_ == ConnectionPhase::idle) linger();
}

void Connection::close() {
  if (phase_ == ConnectionPhase::closed) return;
  const auto keep_alive = shared_from_this();  // the list may hold the last other reference
  phase_ = ConnectionPhase::closed;
  count_request_finished();
  error_code ignored;
  socket_.close(ignored);
  list_->erase(position_);
  if (state_->on_closed) state_->on_closed();
}

void Connection::check_deadline(TimePoint now) {
  if (now < deadline_) return;
  switch (phase_) {
    case ConnectionPhase::idle:
      return linger();
    case ConnectionPhase::reading:
      return reject(408);
    case ConnectionPhase::writing:
    case ConnectionPhase::lingering:
      return close();
    case ConnectionPhase::handling:
    case ConnectionPhase::closed:
      return;
  }
}

void Connection::respond(std::uint64_t request_number, const HttpResponse& response) {
  if (phase_ != ConnectionPhase::handling || request_number != request_number_) return;
  send(response);
}

void Connection::abandon(std::uint64_t request_number) {
  if (phase_ != ConnectionPhase::handling || request_number != request_number_) return;
  close();
}

void Connection::enter_phase(ConnectionPhase phase, Millis limit) {
  phase_ = phase;
  deadline_ = limit == Millis::max() ? TimePoint::max() : SteadyClock::now() + limit;
}

void Connection::move_to(ConnectionList& list) {
  list.splice(list.end(), *list_, position_);
  list_ = &list;
}

void Connection::become_idle() {
  move_to(state_->idle);
  enter_phase(ConnectionPhase::idle, Millis(state_->limits.idle_timeout_ms));
  if (!unparsed_.empty()) return consume({});
  wait_readable();
}

void Connection::wait_readable() {
  socket_.async_wait(Socket::wait_read,
                     [self = shared_from_this()](const error_code& error) { self->on_readable(error); });
}

void Connection::on_readable(const error_code& wait_error) {
  const bool expects_input = phase_ == ConnectionPhase::idle || phase_ == ConnectionPhase::reading ||
                             phase_ == ConnectionPhase::lingering;
  if (!expects_input) return;
  if (wait_error) return close();
  error_code error;
  const auto size = socket_.read_some(asio::buffer(state_->read_buffer), error);
  if (error == asio::error::would_block || error == asio::error::interrupted) return wait_readable();
  if (error) return on_end_of_input(error);
  if (phase_ == ConnectionPhase::lingering) return wait_readable();
  consume({state_->read_buffer.data(), size});
}

void Connection::on_end_of_input(const error_code& error) {
  if (error == asio::error::eof && phase_ == ConnectionPhase::reading) return reject(400);
  close();
}

void Connection::consume(std::string_view bytes) {
  if (phase_ == ConnectionPhase::idle) start_parser();
  std::string buffered;
  if (!unparsed_.empty()) {
    buffered = std::move(unparsed_);
    buffered.append(bytes);
    bytes = buffered;
  }
  error_code error;
  const auto consumed = parse(bytes, error);
  unparsed_.assign(bytes.substr(consumed));
  if (error) return reject(status_of_parse_error(error));
  if (parser_->is_done()) return dispatch_request();
  send_continue_if_expected();
  wait_readable();
}

void Connection::start_parser() {
  move_to(state_->busy);
  parser_.emplace();
  parser_->eager(true);
  parser_->header_limit(state_->limits.max_header_bytes);
  parser_->body_limit(state_->limits.max_body_bytes);
  continue_sent_ = false;
  enter_phase(ConnectionPhase::reading, Millis(state_->limits.header_timeout_ms));
}

std::size_t Connection::parse(std::string_view bytes, error_code& error) {
  const bool had_header = parser_->is_header_done();
  std::size_t used = 0;
  while (!parser_->is_done() && used < bytes.size()) {
    const auto step = parser_->put(asio::buffer(bytes.data() + used, bytes.size() - used), error);
    used += step;
    if (error == http::error::need_more) {
      error = {};
      break;
    }
    if (error || step == 0) break;
  }
  // The time limit of the header is for the whole header; the one of the body restarts whenever bytes of it
  // arrive.
  const bool body_progressed = parser_->is_header_done() && (!had_header || used > 0);
  if (body_progressed) enter_phase(ConnectionPhase::reading, Millis(state_->limits.idle_timeout_ms));
  return used;
}

void Connection::send_continue_if_expected() {
  if (continue_sent_ || !parser_->is_header_done()) return;
  const auto& header = parser_->get();
  if (!http::token_list{header[http::field::expect]}.exists("100-continue")) return;
  continue_sent_ = true;
  static constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
  error_code ignored;
  socket_.write_some(asio::buffer(kContinue.data(), kContinue.size()), ignored);
}

void Connection::dispatch_request() {
  HttpRequest request = parser_->release();
  parser_.reset();
  framing_ = {request.version(), request.keep_alive(), request.method() == http::verb::head};
  enter_phase(ConnectionPhase::handling, Millis::max());
  ++state_->open_requests;
  counted_ = true;
  const auto pending = std::make_shared<PendingResponse>(shared_from_this(), ++request_number_);
  try {
    state_->handler(std::move(request), [pending](const HttpResponse& response) { pending->send(response); });
  } catch (const std::exception&) {
    pending->send(json_response(500, "{}"));
  }
}

void Connection::reject(unsigned status) {
  parser_.reset();
  unparsed_.clear();
  framing_ = {11, false, false};
  send(json_response(status, "{}"));
}

void Connection::send(const HttpResponse& response) {
  ++state_->responses_by_status[response.result_int()];
  if (state_->draining) framing_.keep_alive = false;
  serialize_response(response, framing_, output_);
  enter_phase(ConnectionPhase::writing, Millis(state_->limits.idle_timeout_ms));
  asio::async_write(
      socket_, asio::buffer(output_),
      [self = shared_from_this()](const error_code& error, std::size_t) { self->on_written(error); });
}

void Connection::on_written(const error_code& error) {
  if (phase_ != ConnectionPhase::writing) return;
  if (error) return close();
  count_request_finished();
  if (framing_.keep_alive && !state_->draining) return become_idle();
  linger();
}

void Connection::count_request_finished() {
  if (counted_) --state_->open_requests;
  counted_ = false;
}

void Connection::linger() {
  const bool read_pending = phase_ == ConnectionPhase::idle;
  move_to(state_->busy);
  enter_phase(ConnectionPhase::lingering, kLingerTimeout);
  error_code error;
  socket_.shutdown(Socket::shutdown_send, error);
  if (error) return close();
  if (!read_pending) wait_readable();
}

}  // namespace winchhall::cluster
