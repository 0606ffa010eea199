#include "forwarder.hpp"

#include <array>
#include <boost/asio/write.hpp>
#include <memory>

namespace review {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

struct Link : std::enable_shared_from_this<Link> {
  explicit Link(tcp::socket accepted) : caller(std::move(accepted)), called(caller.get_executor()) {}

  void start(const tcp::endpoint& target) {
    called.async_connect(target, [self = shared_from_this()](const error_code& error) {
      if (error) return self->close();
      self->copy(self->caller, self->called, self->up);
      self->copy(self->called, self->caller, self->down);
    });
  }
  void copy(tcp::socket& from, tcp::socket& to, std::array<char, 16384>& buffer) {
    from.async_read_some(boost::asio::buffer(buffer), [self = shared_from_this(), &from, &to, &buffer](
                                                          const error_code& error, std::size_t size) {
      if (error) return self->close();
      boost::asio::async_write(to, boost::asio::buffer(buffer.data(), size),
                               [self, &from, &to, &buffer](const error_code& failure, std::size_t) {
                                 if (failure) return self->close();
                                 self->copy(from, to, buffer);
                               });
    });
  }
  void close() {
    error_code ignored;
    caller.close(ignored);
    called.close(ignored);
  }

  tcp::socket caller;
  tcp::socket called;
  std::array<char, 16384> up{};
  std::array<char, 16384> down{};
};

}  // namespace

Forwarder::Forwarder(const std::string& ip, unsigned from, unsigned to)
    : target_(boost::asio::ip::make_address(ip), static_cast<unsigned short>(to)),
      acceptor_(loop_, {boost::asio::ip::make_address(ip), static_cast<unsigned short>(from)}) {
  accept();
  thread_ = std::thread([this] { loop_.run(); });
}

Forwarder::~Forwarder() {
  loop_.stop();
  thread_.join();
}

void Forwarder::accept() {
  acceptor_.async_accept([this](const error_code& error, tcp::socket socket) {
    if (!error) std::make_shared<Link>(std::move(socket))->start(target_);
    accept();
  });
}

}  // namespace review
