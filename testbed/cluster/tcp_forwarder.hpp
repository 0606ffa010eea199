// Forwards TCP connections from one port of a loopback address to another one.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <string>
#include <thread>

namespace winchhall::testbed::cluster {

// Accepts connections until it is destroyed, and copies bytes both ways until either side closes. Runs on its
// own thread.
class TcpForwarder {
 public:
  // Throws boost::system::system_error if the port `from` of `ip` is in use.
  TcpForwarder(const std::string& ip, std::uint16_t from, std::uint16_t to);
  ~TcpForwarder();
  TcpForwarder(const TcpForwarder&) = delete;
  TcpForwarder& operator=(const TcpForwarder&) = delete;

 private:
  void accept();

  boost::asio::io_context loop_;
  const boost::asio::ip::tcp::endpoint target_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::thread thread_;
};

}  // namespace winchhall::testbed::cluster
