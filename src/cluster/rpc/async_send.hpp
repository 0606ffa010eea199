// Sends one message without waiting for it.
#pragma once

#include <nng/nng.h>

#include "cluster/rpc/nng_message.hpp"

namespace winchhall::cluster {

// Queues `message` on the socket. It is dropped if it can't be handed to a connection within a short
// time-out.
void send_message(nng_socket socket, NngMessage message);

}  // namespace winchhall::cluster
