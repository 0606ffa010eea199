#include "cluster/rpc/rpc_server.hpp"

#include <nng/protocol/reqrep0/rep.h>

#include <boost/asio/post.hpp>

#include "cluster/rpc/async_send.hpp"

namespace winchhall::cluster {

namespace {

constexpr int kBufferMessages = 256;

}  // namespace

leaf::result<std::shared_ptr<RpcServer>> RpcServer::open(boost::asio::io_context& loop,
                                                         const Address& address, RequestHandler handler) {
  std::shared_ptr<RpcServer> self(new RpcServer(loop, std::move(handler)));
  if (const int code = nng_rep0_open_raw(&self->socket_)) return leaf::new_error(NngFailure{"open", code});
  self->pipes_ = std::make_unique<SocketPipes>();
  self->pipes_->watch(self->socket_);
  nng_socket_set_int(self->socket_, NNG_OPT_RECVBUF, kBufferMessages);
  nng_socket_set_int(self->socket_, NNG_OPT_SENDBUF, kBufferMessages);
  nng_socket_set_size(self->socket_, NNG_OPT_RECVMAXSZ, kMaxMessageBytes);
  nng_socket_set_bool(self->socket_, NNG_OPT_TCP_NODELAY, true);
  if (const int code = nng_aio_alloc(&self->receive_aio_, &RpcServer::on_received, self.get())) {
    return leaf::new_error(NngFailure{"allocate", code});
  }
  if (const int code = nng_listen(self->socket_, ("tcp://" + address).c_str(), &self->listener_, 0)) {
    return leaf::new_error(NngFailure{"listen on " + address, code});
  }
  self->start_receive();
  return self;
}

RpcServer::~RpcServer() {
  if (!pipes_) return;
  // Prevents new connections, so that the background closer sees the end of the last one.
  nng_listener_close(listener_);
  if (receive_aio_) {
    nng_aio_stop(receive_aio_);  // waits for the callback, which uses this object
    nng_aio_free(receive_aio_);
  }
  pipes_->close_all();
  close_socket_in_background(socket_, std::move(pipes_));
}

void RpcServer::start_receive() { nng_recv_aio(socket_, receive_aio_); }

// Runs on a thread of NNG. The destructor waits for it, so the object still exists.
void RpcServer::on_received(void* argument) {
  auto* self = static_cast<RpcServer*>(argument);
  const int result = nng_aio_result(self->receive_aio_);
  if (result == NNG_ECLOSED || result == NNG_ECANCELED) return;
  if (result == 0) self->post_request(NngMessage(nng_aio_get_msg(self->receive_aio_)));
  self->start_receive();
}

void RpcServer::post_request(NngMessage message) {
  auto request = std::make_shared<wire::Envelope>();
  if (!request->ParseFromArray(nng_msg_body(message.get()), static_cast<int>(nng_msg_len(message.get()))))
    return;
  // The header holds the route back to the caller.
  std::string header(static_cast<const char*>(nng_msg_header(message.get())),
                     nng_msg_header_len(message.get()));
  boost::asio::post(loop_, [weak = weak_from_this(), request, header = std::move(header)]() mutable {
    if (const auto self = weak.lock()) self->dispatch(*request, std::move(header));
  });
}

void RpcServer::dispatch(const wire::Envelope& request, std::string header) {
  const std::uint32_t call_id = request.call_id();
  const ReplyCallback reply = [weak = weak_from_this(), header = std::move(header), call_id,
                               answered = std::make_shared<bool>(false)](wire::Envelope answer) {
    const auto self = weak.lock();
    if (!self || std::exchange(*answered, true)) return;
    answer.set_call_id(call_id);
    self->send(header, answer);
  };
  handler_(request, reply);
}

void RpcServer::send(const std::string& header, const wire::Envelope& reply) {
  NngMessage message = NngMessage::with_body(reply.SerializeAsString());
  if (!message) return;
  if (nng_msg_header_append(message.get(), header.data(), header.size()) != 0) return;
  send_message(socket_, std::move(message));
}

}  // namespace winchhall::cluster
