// Asynchronous sending of single NNG messages.
#pragma once

#include <nng/nng.h>

#include "cluster/rpc/nng_message.hpp"

namespace winchhall::cluster {

// Queues `message` on the socket and returns at once. The message is dropped if no connection accepts it
// within a short time-out. Lost messages are not reported: callers detect them by their own time-outs.
void send_message(nng_socket socket, NngMessage message);

}  // namespace winchhall::cluster
