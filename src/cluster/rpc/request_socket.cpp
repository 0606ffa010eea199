#include "cluster/rpc/request_socket.hpp"

#include <nng/protocol/reqrep0/req.h>

#include <boost/asio/post.hpp>

#include "cluster/rpc/async_send.hpp"
#include "cluster/rpc/nng_message.hpp"

namespace winchhall::cluster {

namespace {

constexpr nng_duration kMinReconnectMs = 30;
constexpr nng_duration kMaxReconnectMs = 200;
constexpr int kSendBufferMessages = 64;
// Set by NNG in the request id, which is the last word of a message's header.
constexpr std::uint32_t kRequestIdFlag = 0x80000000u;

}  // namespace

std::shared_ptr<RequestSocket> RequestSocket::open(boost::asio::io_context& loop, const Address& peer,
                                                   ReplyHandler on_reply) {
  std::shared_ptr<RequestSocket> self(new RequestSocket(loop, std::move(on_reply)));
  if (nng_req0_open_raw(&self->socket_) != 0) return nullptr;
  self->pipes_ = std::make_unique<SocketPipes>();
  self->pipes_->watch(self->socket_);
  nng_socket_set_ms(self->socket_, NNG_OPT_RECONNMINT, kMinReconnectMs);
  nng_socket_set_ms(self->socket_, NNG_OPT_RECONNMAXT, kMaxReconnectMs);
  nng_socket_set_int(self->socket_, NNG_OPT_SENDBUF, kSendBufferMessages);
  nng_socket_set_size(self->socket_, NNG_OPT_RECVMAXSZ, kMaxMessageBytes);
  nng_socket_set_bool(self->socket_, NNG_OPT_TCP_NODELAY, true);
  if (nng_aio_alloc(&self->receive_aio_, &RequestSocket::on_received, self.get()) != 0) return nullptr;
  nng_dial(self->socket_, ("tcp://" + peer).c_str(), &self->dialer_, NNG_FLAG_NONBLOCK);
  self->start_receive();
  return self;
}

RequestSocket::~RequestSocket() { close(); }

void RequestSocket::start_receive() { nng_recv_aio(socket_, receive_aio_); }

// Runs on a thread of NNG. Closing the socket waits for it, so the object still exists.
void RequestSocket::on_received(void* argument) {
  auto* self = static_cast<RequestSocket*>(argument);
  const int result = nng_aio_result(self->receive_aio_);
  if (result == NNG_ECLOSED || result == NNG_ECANCELED) return;
  if (result == 0) self->post_reply(nng_aio_get_msg(self->receive_aio_));
  self->start_receive();
}

void RequestSocket::post_reply(nng_msg* raw) {
  NngMessage message(raw);
  auto reply = std::make_shared<wire::Envelope>();
  if (!reply->ParseFromArray(nng_msg_body(message.get()), static_cast<int>(nng_msg_len(message.get()))))
    return;
  boost::asio::post(loop_, [weak = weak_from_this(), reply] {
    const auto self = weak.lock();
    if (self && !self->closed_) self->on_reply_(self, std::move(*reply));
  });
}

void RequestSocket::send(const std::string& body, std::uint32_t call_id) {
  if (closed_) return;
  NngMessage message = NngMessage::with_body(body);
  if (!message) return;
  nng_msg_header_append_u32(message.get(), call_id | kRequestIdFlag);
  send_message(socket_, std::move(message));
}

void RequestSocket::close() {
  if (closed_) return;
  closed_ = true;
  if (!pipes_) return;
  // Prevents new connections, so that the background closer sees the end of the last one.
  nng_dialer_close(dialer_);
  if (receive_aio_) {
    nng_aio_stop(receive_aio_);  // waits for the callback, which uses this object
    nng_aio_free(receive_aio_);
    receive_aio_ = nullptr;
  }
  pipes_->close_all();
  close_socket_in_background(socket_, std::move(pipes_));
}

}  // namespace winchhall::cluster
