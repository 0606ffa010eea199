// One NNG request socket in raw mode with one dialer. Replies are posted to the event loop.
#pragma once

#include <nng/nng.h>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include "cluster/common/runtime.hpp"

namespace winchhall::cluster {

class RequestSocket : public std::enable_shared_from_this<RequestSocket> {
 public:
  using OnReply = std::function<void(const std::shared_ptr<RequestSocket>&, wire::Envelope)>;

  // Opens the socket and starts to dial; null if the library has no room for another socket.
  static std::shared_ptr<RequestSocket> open(boost::asio::io_context& loop, const Address& peer,
                                             OnReply on_reply);
  ~RequestSocket();

  // Queues a message; dropped if the connection takes it neither now nor within the send time-out.
  void send(const std::string& body, std::uint32_t call_id);
  // Ends the socket; no reply is delivered afterwards.
  void close();

 private:
  RequestSocket(boost::asio::io_context& loop, OnReply on_reply)
      : loop_(loop), on_reply_(std::move(on_reply)) {}
  static void received(void* self);
  void receive();
  void take(nng_msg* message);

  boost::asio::io_context& loop_;
  OnReply on_reply_;
  nng_socket socket_ = NNG_SOCKET_INITIALIZER;
  nng_aio* receive_aio_ = nullptr;
  bool closed_ = false;
};

}  // namespace winchhall::cluster
