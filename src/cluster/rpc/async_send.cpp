#include "cluster/rpc/async_send.hpp"

#include <memory>

namespace winchhall::cluster {

namespace {

constexpr nng_duration kSendTimeoutMs = 400;

// Context of one send operation. Ownership passes to the operation when it starts; its callback deletes it.
struct SendOperation {
  nng_aio* aio = nullptr;
};

// Runs on a thread of NNG. An unsent message still belongs to the operation.
void on_send_done(void* argument) {
  const std::unique_ptr<SendOperation> operation(static_cast<SendOperation*>(argument));
  if (nng_aio_result(operation->aio) != 0) nng_msg_free(nng_aio_get_msg(operation->aio));
  nng_aio_reap(operation->aio);
}

}  // namespace

void send_message(nng_socket socket, NngMessage message) {
  auto operation = std::make_unique<SendOperation>();
  if (nng_aio_alloc(&operation->aio, &on_send_done, operation.get()) != 0) return;
  nng_aio* aio = operation->aio;
  nng_aio_set_timeout(aio, kSendTimeoutMs);
  nng_aio_set_msg(aio, message.release());
  static_cast<void>(operation.release());  // now owned by the callback
  nng_send_aio(socket, aio);
}

}  // namespace winchhall::cluster
