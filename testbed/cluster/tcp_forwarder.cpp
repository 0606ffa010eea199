#include "testbed/cluster/tcp_forwarder.hpp"

#include <array>
#include <boost/asio/write.hpp>
#include <memory>
#include <utility>

namespace winchhall::testbed::cluster {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

// An accepted connection and the one to the target. Exists while an operation of either is pending.
class ForwardedConnection : public std::enable_shared_from_this<ForwardedConnection> {
 public:
  explicit ForwardedConnection(tcp::socket accepted)
      : caller_{std::move(accepted), {}}, target_{tcp::socket(caller_.socket.get_executor()), {}} {}

  void start(const tcp::endpoint& target) {
    target_.socket.async_connect(target, [self = shared_from_this()](const error_code& error) {
      if (error) return self->close();
      self->copy(self->caller_, self->target_);
      self->copy(self->target_, self->caller_);
    });
  }

 private:
  struct Side {
    tcp::socket socket;
    std::array<char, 16384> received;
  };

  void copy(Side& from, Side& to) {
    from.socket.async_read_some(
        boost::asio::buffer(from.received),
        [self = shared_from_this(), &from, &to](const error_code& error, std::size_t size) {
          if (error) return self->close();
          self->write(from, to, size);
        });
  }
  void write(Side& from, Side& to, std::size_t size) {
    boost::asio::async_write(to.socket, boost::asio::buffer(from.received.data(), size),
                             [self = shared_from_this(), &from, &to](const error_code& error, std::size_t) {
                               if (error) return self->close();
                               self->copy(from, to);
                             });
  }
  void close() {
    error_code ignored;
    caller_.socket.close(ignored);
    target_.socket.close(ignored);
  }

  Side caller_;
  Side target_;
};

tcp::endpoint endpoint_of(const std::string& ip, std::uint16_t port) {
  return {boost::asio::ip::make_address(ip), port};
}

}  // namespace

TcpForwarder::TcpForwarder(const std::string& ip, std::uint16_t from, std::uint16_t to)
    : target_(endpoint_of(ip, to)), acceptor_(loop_, endpoint_of(ip, from)) {
  accept();
  thread_ = std::thread([this] { loop_.run(); });
}

TcpForwarder::~TcpForwarder() {
  loop_.stop();
  thread_.join();
}

void TcpForwarder::accept() {
  acceptor_.async_accept([this](const error_code& error, tcp::socket socket) {
    if (!error) std::make_shared<ForwardedConnection>(std::move(socket))->start(target_);
    accept();
  });
}

}  // namespace winchhall::testbed::cluster
