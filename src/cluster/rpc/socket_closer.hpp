// Closes NNG sockets in the background, once nothing of them is in use any more.
#pragma once

#include <nng/nng.h>

#include <memory>

namespace winchhall::cluster {

// The connections of one socket, as NNG reports them on its own threads. Attached to the socket before it
// dials or listens; kept alive by the socket's owner, and by the closer until the socket is closed.
class SocketPipes {
 public:
  SocketPipes();
  ~SocketPipes();
  SocketPipes(const SocketPipes&) = delete;
  SocketPipes& operator=(const SocketPipes&) = delete;

  // To be called once, before the socket has a dialer or listener.
  void watch(nng_socket socket);
  // Closes all connections. They end on NNG's threads, soon afterwards.
  void close_all();
  // True if every connection has ended.
  bool empty() const;

 private:
  struct State;
  static void on_event(nng_pipe pipe, nng_pipe_ev event, void* state);

  std::unique_ptr<State> state_;
};

// Takes over a socket whose dialers and listeners are closed and whose receive operations have ended. Returns
// at once.
//
// nng_close() of NNG 1.5 aborts the process ("pthread_mutex_lock: Invalid argument"), or never returns, if it
// meets connections of the socket that are being established or closed at the same time. So a thread of its
// own calls it only after all connections have ended and a further second, and the event loop never waits for
// it. A socket whose connections don't end stays open until the process ends. Thread-safe.
void close_socket_in_background(nng_socket socket, std::unique_ptr<SocketPipes> pipes);

}  // namespace winchhall::cluster
