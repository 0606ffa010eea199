#include "cluster/http/server.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/system/system_error.hpp>

#include "cluster/common/endpoint.hpp"
#include "cluster/http/connection.hpp"

namespace winchhall::cluster {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr int kListenBacklog = 1024;
constexpr Millis kAcceptRetryDelay{50};
constexpr Millis kDeadlineCheckInterval{250};

tcp::endpoint listening_endpoint(const Address& address) {
  const auto endpoint = parse_endpoint(address);
  if (!endpoint) throw boost::system::system_error(asio::error::invalid_argument, address);
  return *endpoint;
}

// File descriptors or memory are exhausted, so accepting again at once would fail again.
bool is_resource_exhaustion(const error_code& error) {
  return error == asio::error::no_descriptors || error == asio::error::no_buffer_space ||
         error == asio::error::no_memory || error == boost::system::errc::too_many_files_open_in_system;
}

// Accepts up to the limit on open connections, and closes connections whose phase exceeds its time limit.
class BeastServer : public HttpServer {
 public:
  BeastServer(asio::io_context& loop, const Address& address, HttpHandler handler,
              std::size_t max_connections)
      : state_(std::make_shared<HttpServerState>(loop, std::move(handler))),
        acceptor_(loop),
        accept_retry_timer_(loop),
        deadline_timer_(loop),
        max_connections_(max_connections) {
    const auto endpoint = listening_endpoint(address);
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(endpoint);
    acceptor_.listen(kListenBacklog);
    state_->on_closed = [this] { on_closed(); };
    accept();
  }

  ~BeastServer() override {
    state_->closed = true;
    state_->on_closed = nullptr;
    state_->handler = nullptr;
    stop_accepting();
    while (!state_->idle.empty()) state_->idle.front()->close();
    while (!state_->busy.empty()) state_->busy.front()->close();
  }

  void set_limits(const RequestLimits& limits) override { state_->limits = limits; }

  void stop_accepting() override {
    error_code ignored;
    acceptor_.close(ignored);
    accept_retry_timer_.cancel();
  }

  void drain() override {
    state_->draining = true;
    while (!state_->idle.empty()) state_->idle.front()->close_idle();
  }

  std::size_t open_requests() const override { return state_->open_requests; }
  std::size_t open_connections() const override { return state_->connections(); }
  const std::map<unsigned, std::uint64_t>& responses_by_status() const override {
    return state_->responses_by_status;
  }
  unsigned short port() const override { return acceptor_.local_endpoint().port(); }

 private:
  void accept() {
    if (accepting_ || !acceptor_.is_open()) return;
    accepting_ = true;
    acceptor_.async_accept([this, state = state_](const error_code& error, tcp::socket socket) {
      if (state->closed || error == asio::error::operation_aborted) return;
      accepting_ = false;
      on_accepted(error, std::move(socket));
    });
  }

  void on_accepted(const error_code& error, tcp::socket socket) {
    if (!error) {
      std::make_shared<Connection>(state_, std::move(socket))->start();
      schedule_deadline_check();
    }
    if (error && is_resource_exhaustion(error)) return retry_accept_later();
    if (ensure_capacity()) accept();
  }

  // If the limit is reached, closes the connection that has been idle longest. False if all connections are
  // busy then.
  bool ensure_capacity() {
    if (state_->connections() < max_connections_) return true;
    if (state_->idle.empty()) return false;
    state_->idle.front()->close_idle();
    return true;
  }

  void retry_accept_later() {
    if (!state_->idle.empty()) state_->idle.front()->close_idle();
    accept_retry_timer_.expires_after(kAcceptRetryDelay);
    accept_retry_timer_.async_wait([this, state = state_](const error_code& error) {
      if (!error && !state->closed) accept();
    });
  }

  void on_closed() {
    if (state_->connections() < max_connections_) accept();
  }

  void schedule_deadline_check() {
    if (deadline_check_scheduled_ || state_->connections() == 0) return;
    deadline_check_scheduled_ = true;
    deadline_timer_.expires_after(kDeadlineCheckInterval);
    deadline_timer_.async_wait([this, state = state_](const error_code& error) {
      if (error || state->closed) return;
      deadline_check_scheduled_ = false;
      check_deadlines();
      schedule_deadline_check();
    });
  }

  void check_deadlines() {
    const auto now = SteadyClock::now();
    check_deadlines(state_->busy, now);
    check_deadlines(state_->idle, now);
  }

  static void check_deadlines(ConnectionList& list, TimePoint now) {
    for (auto next = list.begin(); next != list.end();) {
      const auto connection = *next++;
      connection->check_deadline(now);
    }
  }

  std::shared_ptr<HttpServerState> state_;
  tcp::acceptor acceptor_;
  asio::steady_timer accept_retry_timer_;
  asio::steady_timer deadline_timer_;
  std::size_t max_connections_;
  bool accepting_ = false;
  bool deadline_check_scheduled_ = false;
};

}  // namespace

std::unique_ptr<HttpServer> make_http_server(asio::io_context& loop, const Address& address,
                                             HttpHandler handler, std::size_t max_connections) {
  return std::make_unique<BeastServer>(loop, address, std::move(handler), max_connections);
}

}  // namespace winchhall::cluster
