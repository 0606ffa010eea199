#include "cluster/rpc/request_socket.hpp"

#include <nng/protocol/reqrep0/req.h>

#include <boost/asio/post.hpp>

#include "cluster/rpc/async_send.hpp"
#include "cluster/rpc/nng_message.hpp"

namespace winchhall::cluster {

namespace {

constexpr nng_duration kReconnectLeastMs = 30;
constexpr nng_duration kReconnectMostMs = 200;
constexpr int kSendBufferMessages = 64;
constexpr std::uint32_t kRequestIdFlag = 0x80000000u;  // marks the last word of a request's header

}  // namespace

std::shared_ptr<RequestSocket> RequestSocket::open(boost::asio::io_context& loop, const Address& peer,
                                                   OnReply on_reply) {
  std::shared_ptr<RequestSocket> self(new RequestSocket(loop, std::move(on_reply)));
  if (nng_req0_open_raw(&self->socket_) != 0) return nullptr;
  nng_socket_set_ms(self->socket_, NNG_OPT_RECONNMINT, kReconnectLeastMs);
  nng_socket_set_ms(self->socket_, NNG_OPT_RECONNMAXT, kReconnectMostMs);
  nng_socket_set_int(self->socket_, NNG_OPT_SENDBUF, kSendBufferMessages);
  nng_socket_set_size(self->socket_, NNG_OPT_RECVMAXSZ, kMaxMessageBytes);
  nng_socket_set_bool(self->socket_, NNG_OPT_TCP_NODELAY, true);
  if (nng_aio_alloc(&self->receive_aio_, &RequestSocket::received, self.get()) != 0) return nullptr;
  nng_dial(self->socket_, ("tcp://" + peer).c_str(), nullptr, NNG_FLAG_NONBLOCK);
  self->receive();
  return self;
}

RequestSocket::~RequestSocket() { close(); }

void RequestSocket::receive() { nng_recv_aio(socket_, receive_aio_); }

// Runs on a thread of the library.
void RequestSocket::received(void* argument) {
  auto* self = static_cast<RequestSocket*>(argument);
  const int result = nng_aio_result(self->receive_aio_);
  if (result == NNG_ECLOSED || result == NNG_ECANCELED) return;
  if (result == 0) self->take(nng_aio_get_msg(self->receive_aio_));
  self->receive();
}

void RequestSocket::take(nng_msg* raw) {
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
  nng_close(socket_);
  if (receive_aio_) {
    nng_aio_stop(receive_aio_);
    nng_aio_free(receive_aio_);
    receive_aio_ = nullptr;
  }
}

}  // namespace winchhall::cluster
