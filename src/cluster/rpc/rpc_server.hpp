// Server of the RPC protocol between processes: an NNG reply socket in raw mode.
#pragma once

#include <nng/nng.h>

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

#include "cluster/common/errors.hpp"
#include "cluster/common/runtime.hpp"
#include "cluster/rpc/nng_message.hpp"
#include "cluster/rpc/socket_closer.hpp"

namespace winchhall::cluster {

// Listens for requests and calls the handler on the event loop; parsing happens on threads of NNG. Requests
// that can't be parsed, or that the handler doesn't handle, are dropped. Any number of requests may be
// pending; replies after the server's end are dropped.
class RpcServer : public std::enable_shared_from_this<RpcServer> {
 public:
  // Listens on "ip:port". `loop` must outlive the server. Errors: NngFailure.
  static leaf::result<std::shared_ptr<RpcServer>> open(boost::asio::io_context& loop, const Address& address,
                                                       RequestHandler handler);
  ~RpcServer();

 private:
  RpcServer(boost::asio::io_context& loop, RequestHandler handler)
      : loop_(loop), handler_(std::move(handler)) {}
  static void on_received(void* self);
  void start_receive();
  void post_request(NngMessage message);
  void dispatch(const wire::Envelope& request, std::string header);
  void send(const std::string& header, const wire::Envelope& reply);

  boost::asio::io_context& loop_;
  RequestHandler handler_;
  nng_socket socket_ = NNG_SOCKET_INITIALIZER;
  nng_listener listener_ = NNG_LISTENER_INITIALIZER;
  std::unique_ptr<SocketPipes> pipes_;  // null: the socket was not opened
  nng_aio* receive_aio_ = nullptr;
};

}  // namespace winchhall::cluster
