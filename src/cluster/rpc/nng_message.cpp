#include "cluster/rpc/nng_message.hpp"

namespace winchhall::cluster {

NngMessage NngMessage::with_body(const std::string& body) {
  nng_msg* message = nullptr;
  if (nng_msg_alloc(&message, 0) != 0) return NngMessage();
  if (nng_msg_append(message, body.data(), body.size()) != 0) {
    nng_msg_free(message);
    return NngMessage();
  }
  return NngMessage(message);
}

}  // namespace winchhall::cluster
