// Client side of NNG's request/reply protocol in raw mode: one socket with one connection to one peer.
#pragma once

#include <nng/nng.h>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "cluster/common/runtime.hpp"
#include "cluster/rpc/socket_closer.hpp"

namespace winchhall::cluster {

// Sends requests and receives replies; NNG reconnects by itself. All members are called on the event loop.
// Replies are received and parsed on threads of NNG and delivered on the event loop.
class RequestSocket : public std::enable_shared_from_this<RequestSocket> {
 public:
  using ReplyHandler = std::function<void(const std::shared_ptr<RequestSocket>&, wire::Envelope)>;

  // Opens the socket and starts connecting. Null if NNG can't allocate another socket. `loop` must outlive
  // the socket.
  static std::shared_ptr<RequestSocket> open(boost::asio::io_context& loop, const Address& peer,
                                             ReplyHandler on_reply);
  ~RequestSocket();

  // True while the connection to the peer is established.
  bool is_connected() const { return pipes_ && !pipes_->empty(); }
  // Queues a message, which is dropped if the connection doesn't accept it within the send time-out.
  void send(const std::string& body, std::uint32_t call_id);
  // Ends the connection and closes the socket in the background. No reply is delivered afterwards.
  void close();

 private:
  RequestSocket(boost::asio::io_context& loop, ReplyHandler on_reply)
      : loop_(loop), on_reply_(std::move(on_reply)) {}
  static void on_received(void* self);
  void start_receive();
  void post_reply(nng_msg* message);

  boost::asio::io_context& loop_;
  ReplyHandler on_reply_;
  nng_socket socket_ = NNG_SOCKET_INITIALIZER;
  nng_dialer dialer_ = NNG_DIALER_INITIALIZER;
  std::unique_ptr<SocketPipes> pipes_;  // null: the socket was not opened
  nng_aio* receive_aio_ = nullptr;
  bool closed_ = false;
};

}  // namespace winchhall::cluster
