// Takes requests of other processes over an NNG socket (reply side of the request/reply protocol in raw
// mode).
#pragma once

#include <nng/nng.h>

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

#include "cluster/common/errors.hpp"
#include "cluster/common/runtime.hpp"
#include "cluster/rpc/nng_message.hpp"

namespace winchhall::cluster {

class RpcServer : public std::enable_shared_from_this<RpcServer> {
 public:
  // Listens on "ip:port"; requests that no handler takes are dropped. Errors: NngFailure.
  static leaf::result<std::shared_ptr<RpcServer>> open(boost::asio::io_context& loop, const Address& address,
                                                       RequestHandler handler);
  ~RpcServer();

 private:
  RpcServer(boost::asio::io_context& loop, RequestHandler handler)
      : loop_(loop), handler_(std::move(handler)) {}
  static void received(void* self);
  void receive();
  void take(NngMessage message);
  void dispatch(const wire::Envelope& request, std::string header);
  void send(const std::string& header, const wire::Envelope& reply);

  boost::asio::io_context& loop_;
  RequestHandler handler_;
  nng_socket socket_ = NNG_SOCKET_INITIALIZER;
  nng_aio* receive_aio_ = nullptr;
};

}  // namespace winchhall::cluster
