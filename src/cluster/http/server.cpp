// The listener: accepts within a bound on open connections, and ends connections that rest or stall too long.
#include "cluster/http/server.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/system/system_error.hpp>
#include <charconv>

#include "cluster/http/connection.hpp"

namespace winchhall::cluster {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr int kBacklog = 1024;
constexpr Millis kAcceptPause{50};
constexpr Millis kDeadlineCheck{250};

tcp::endpoint parse_endpoint(const Address& address) {
  const auto colon = address.rfind(':');
  const auto end = address.data() + address.size();
  std::uint16_t port = 0;
  const bool has_port =
      colon != Address::npos && std::from_chars(address.data() + colon + 1, end, port).ptr == end;
  if (!has_port) throw boost::system::system_error(asio::error::invalid_argument, address);
  return {asio::ip::make_address(address.substr(0, colon)), port};
}

// Descriptors or memory ran out: trying again at once would fail again.
bool is_resource_exhaustion(const error_code& error) {
  return error == asio::error::no_descriptors || error == asio::error::no_buffer_space ||
         error == asio::error::no_memory || error == boost::system::errc::too_many_files_open_in_system;
}

class BeastServer : public HttpServer {
 public:
  BeastServer(asio::io_context& loop, const Address& address, HttpHandler handler,
              std::size_t max_connections)
      : core_(std::make_shared<HttpServerState>(loop, std::move(handler))),
        acceptor_(loop),
        accept_timer_(loop),
        deadline_timer_(loop),
        max_connections_(max_connections) {
    const auto endpoint = parse_endpoint(address);
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(endpoint);
    acceptor_.listen(kBacklog);
    core_->on_closed = [this] { on_closed(); };
    accept();
  }

  ~BeastServer() override {
    core_->closed = true;
    core_->on_closed = nullptr;
    core_->handler = nullptr;
    stop_accepting();
    while (!core_->idle.empty()) core_->idle.front()->close();
    while (!core_->busy.empty()) core_->busy.front()->close();
  }

  void set_limits(const RequestLimits& limits) override { core_->limits = limits; }

  void stop_accepting() override {
    error_code ignored;
    acceptor_.close(ignored);
    accept_timer_.cancel();
  }

  void drain() override {
    core_->draining = true;
    while (!core_->idle.empty()) core_->idle.front()->close_idle();
  }

  std::size_t open_requests() const override { return core_->open_requests; }
  std::size_t open_connections() const override { return core_->connections(); }
  const std::map<unsigned, std::uint64_t>& responses_by_status() const override {
    return core_->responses_by_status;
  }
  unsigned short port() const override { return acceptor_.local_endpoint().port(); }

 private:
  void accept() {
    if (accepting_ || !acceptor_.is_open()) return;
    accepting_ = true;
    acceptor_.async_accept([this, core = core_](const error_code& error, tcp::socket socket) {
      if (core->closed || error == asio::error::operation_aborted) return;
      accepting_ = false;
      on_accepted(error, std::move(socket));
    });
  }

  void on_accepted(const error_code& error, tcp::socket socket) {
    if (!error) {
      std::make_shared<Connection>(core_, std::move(socket))->start();
      watch_deadlines();
    }
    if (error && is_resource_exhaustion(error)) return pause_accepting();
    if (evict_idle_connection()) accept();
  }

  // Keeps below the bound by closing what has rested longest; false: all connections are busy.
  bool evict_idle_connection() {
    if (core_->connections() < max_connections_) return true;
    if (core_->idle.empty()) return false;
    core_->idle.front()->close_idle();
    return true;
  }

  void pause_accepting() {
    if (!core_->idle.empty()) core_->idle.front()->close_idle();
    accept_timer_.expires_after(kAcceptPause);
    accept_timer_.async_wait([this, core = core_](const error_code& error) {
      if (!error && !core->closed) accept();
    });
  }

  void on_closed() {
    if (core_->connections() < max_connections_) accept();
  }

  void watch_deadlines() {
    if (watching_deadlines_ || core_->connections() == 0) return;
    watching_deadlines_ = true;
    deadline_timer_.expires_after(kDeadlineCheck);
    deadline_timer_.async_wait([this, core = core_](const error_code& error) {
      if (error || core->closed) return;
      watching_deadlines_ = false;
      check_deadlines();
      watch_deadlines();
    });
  }

  void check_deadlines() {
    const auto now = SteadyClock::now();
    check_deadlines(core_->busy, now);
    check_deadlines(core_->idle, now);
  }

  static void check_deadlines(ConnectionList& list, TimePoint now) {
    for (auto next = list.begin(); next != list.end();) {
      const auto connection = *next++;
      connection->check_deadline(now);
    }
  }

  std::shared_ptr<HttpServerState> core_;
  tcp::acceptor acceptor_;
  asio::steady_timer accept_timer_;
  asio::steady_timer deadline_timer_;
  std::size_t max_connections_;
  bool accepting_ = false;
  bool watching_deadlines_ = false;
};

}  // namespace

std::unique_ptr<HttpServer> make_http_server(asio::io_context& loop, const Address& address,
                                             HttpHandler handler, std::size_t max_connections) {
  return std::make_unique<BeastServer>(loop, address, std::move(handler), max_connections);
}

HttpResponse json_response(unsigned status, std::string body) {
  HttpResponse response;
  response.result(status);
  response.set(boost::beast::http::field::content_type, "application/json");
  response.body() = std::move(body);
  return response;
}

}  // namespace winchhall::cluster
