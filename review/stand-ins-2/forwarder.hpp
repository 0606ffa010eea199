// Leads TCP connections from one port of an address to another one.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <thread>

namespace review {

class Forwarder {
 public:
  // Throws if the port is taken.
  Forwarder(const std::string& ip, unsigned from, unsigned to);
  ~Forwarder();
  Forwarder(const Forwarder&) = delete;
  Forwarder& operator=(const Forwarder&) = delete;

 private:
  void accept();

  boost::asio::io_context loop_;
  boost::asio::ip::tcp::endpoint target_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::thread thread_;
};

}  // namespace review
