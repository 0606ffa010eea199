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

// How long a connection is read on after its last answer.
constexpr Millis kLinger{1000};

// Answers one request of a connection; tells the connection if it goes without having answered.
class Exchange {
 public:
  Exchange(std::shared_ptr<Connection> connection, std::uint64_t number)
      : connection_(std::move(connection)), number_(number) {}
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;
  ~Exchange() {
    if (connection_) connection_->abandon(number_);
  }

  void answer(const HttpResponse& response) {
    if (!connection_) return;
    const auto connection = std::move(connection_);
    connection->answer(number_, response);
  }

 private:
  std::shared_ptr<Connection> connection_;
  std::uint64_t number_;
};

unsigned status_of(const error_code& error) {
  if (error == http::error::header_limit) return 431;
  if (error == http::error::body_limit) return 413;
  return 400;
}

}  // namespace

Connection::Connection(std::shared_ptr<HttpServerState> core, Socket socket)
    : core_(std::move(core)), socket_(std::move(socket)) {}

void Connection::start() {
  error_code ignored;
  socket_.non_blocking(true, ignored);
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  core_->idle.push_back(shared_from_this());
  list_ = &core_->idle;
  position_ = std::prev(core_->idle.end());
  enter(ConnectionPhase::idle, Millis(core_->limits.idle_timeout_ms));
  wait_readable();
}

void Connection::close_idle() {
  if (phase_ == ConnectionPhase::idle) linger();
}

void Connection::close() {
  if (phase_ == ConnectionPhase::closed) return;
  const auto keep = shared_from_this();
  phase_ = ConnectionPhase::closed;
  if (counted_) --core_->open_requests;
  counted_ = false;
  error_code ignored;
  socket_.close(ignored);
  list_->erase(position_);
  if (core_->on_closed) core_->on_closed();
}

void Connection::check_deadline(TimePoint now) {
  if (now < deadline_) return;
  switch (phase_) {
    case ConnectionPhase::idle:
      return linger();
    case ConnectionPhase::reading:
      return refuse(408);
    case ConnectionPhase::writing:
    case ConnectionPhase::lingering:
      return close();
    case ConnectionPhase::handling:
    case ConnectionPhase::closed:
      return;
  }
}

void Connection::answer(std::uint64_t exchange, const HttpResponse& response) {
  if (phase_ != ConnectionPhase::handling || exchange != exchange_) return;
  send(response);
}

void Connection::abandon(std::uint64_t exchange) {
  if (phase_ != ConnectionPhase::handling || exchange != exchange_) return;
  close();
}

void Connection::enter(ConnectionPhase phase, Millis limit) {
  phase_ = phase;
  deadline_ = limit == Millis::max() ? TimePoint::max() : SteadyClock::now() + limit;
}

void Connection::move_to(ConnectionList& list) {
  list.splice(list.end(), *list_, position_);
  list_ = &list;
}

void Connection::rest() {
  move_to(core_->idle);
  enter(ConnectionPhase::idle, Millis(core_->limits.idle_timeout_ms));
  if (!unparsed_.empty()) return take({});
  wait_readable();
}

void Connection::wait_readable() {
  socket_.async_wait(Socket::wait_read,
                     [self = shared_from_this()](const error_code& error) { self->on_readable(error); });
}

void Connection::on_readable(const error_code& wait_error) {
  const bool expects = phase_ == ConnectionPhase::idle || phase_ == ConnectionPhase::reading ||
                       phase_ == ConnectionPhase::lingering;
  if (!expects) return;
  if (wait_error) return close();
  error_code error;
  const auto size = socket_.read_some(asio::buffer(core_->read_buffer), error);
  if (error == asio::error::would_block || error == asio::error::interrupted) return wait_readable();
  if (error) return on_end_of_input(error);
  if (phase_ == ConnectionPhase::lingering) return wait_readable();
  take({core_->read_buffer.data(), size});
}

void Connection::on_end_of_input(const error_code& error) {
  if (error == asio::error::eof && phase_ == ConnectionPhase::reading) return refuse(400);
  close();
}

void Connection::take(std::string_view bytes) {
  if (phase_ == ConnectionPhase::idle) start_parser();
  std::string kept;
  if (!unparsed_.empty()) {
    kept = std::move(unparsed_);
    kept.append(bytes);
    bytes = kept;
  }
  error_code error;
  const auto used = parse(bytes, error);
  unparsed_.assign(bytes.substr(used));
  if (error) return fail(error);
  if (parser_->is_done()) return dispatch_request();
  continue_if_expected();
  wait_readable();
}

void Connection::start_parser() {
  move_to(core_->busy);
  parser_.emplace();
  parser_->eager(true);
  parser_->header_limit(core_->limits.max_header_bytes);
  parser_->body_limit(core_->limits.max_body_bytes);
  continue_sent_ = false;
  enter(ConnectionPhase::reading, Millis(core_->limits.header_timeout_ms));
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
  // Once the header is there, the body may take as long as it goes on coming.
  const bool body_moves = parser_->is_header_done() && (!had_header || used > 0);
  if (body_moves) enter(ConnectionPhase::reading, Millis(core_->limits.idle_timeout_ms));
  return used;
}

void Connection::continue_if_expected() {
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
  form_ = {request.version(), request.keep_alive(), request.method() == http::verb::head};
  enter(ConnectionPhase::handling, Millis::max());
  ++core_->open_requests;
  counted_ = true;
  const auto number = ++exchange_;
  const auto exchange = std::make_shared<Exchange>(shared_from_this(), number);
  try {
    core_->handler(std::move(request),
                   [exchange](const HttpResponse& response) { exchange->answer(response); });
  } catch (const std::exception&) {
    exchange->answer(json_response(500, "{}"));
  }
}

void Connection::fail(const error_code& error) { refuse(status_of(error)); }

void Connection::refuse(unsigned status) {
  parser_.reset();
  unparsed_.clear();
  form_ = {11, false, false};
  send(json_response(status, "{}"));
}

void Connection::send(const HttpResponse& response) {
  ++core_->responses_by_status[response.result_int()];
  if (core_->draining) form_.keep_alive = false;
  serialize_response(response, form_, output_);
  enter(ConnectionPhase::writing, Millis(core_->limits.idle_timeout_ms));
  asio::async_write(
      socket_, asio::buffer(output_),
      [self = shared_from_this()](const error_code& error, std::size_t) { self->on_written(error); });
}

void Connection::on_written(const error_code& error) {
  if (phase_ != ConnectionPhase::writing) return;
  if (error) return close();
  if (counted_) --core_->open_requests;
  counted_ = false;
  if (form_.keep_alive && !core_->draining) return rest();
  linger();
}

void Connection::linger() {
  const bool waiting = phase_ == ConnectionPhase::idle;
  move_to(core_->busy);
  enter(ConnectionPhase::lingering, kLinger);
  error_code error;
  socket_.shutdown(Socket::shutdown_send, error);
  if (error) return close();
  if (!waiting) wait_readable();
}

}  // namespace winchhall::cluster
