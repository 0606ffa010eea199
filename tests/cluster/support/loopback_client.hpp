// Client connection on the loopback interface that collects what it receives.
#pragma once

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <optional>
#include <string>

namespace winchhall::cluster::testing {

class LoopbackClient {
 public:
  LoopbackClient(boost::asio::io_context& loop, unsigned short port) : socket_(loop) {
    socket_.connect({boost::asio::ip::make_address("127.0.0.1"), port});
    read();
  }

  void send(const std::string& text) { boost::asio::write(socket_, boost::asio::buffer(text)); }
  void shut_down_sending() { socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send); }
  void close() { socket_.close(); }
  const std::string& input() const { return input_; }
  bool has(const std::string& text) const { return input_.find(text) != std::string::npos; }
  // Whether the server has closed its side.
  bool ended() const { return end_.has_value(); }
  // Whether the connection was reset instead of closed gracefully.
  bool reset() const { return end_ && *end_ != boost::asio::error::eof; }

 private:
  void read() {
    socket_.async_read_some(boost::asio::buffer(buffer_),
                            [this](const boost::system::error_code& error, std::size_t size) {
                              // Aborted: this client is closed or gone.
                              if (error != boost::asio::error::operation_aborted) on_read(error, size);
                            });
  }

  void on_read(const boost::system::error_code& error, std::size_t size) {
    input_.append(buffer_.data(), size);
    if (!error) return read();
    end_ = error;
  }

  boost::asio::ip::tcp::socket socket_;
  std::array<char, 4096> buffer_{};
  std::string input_;
  std::optional<boost::system::error_code> end_;
};

}  // namespace winchhall::cluster::testing
