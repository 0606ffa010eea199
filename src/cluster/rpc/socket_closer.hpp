// Closes NNG sockets in the background, after all their connections have ended.
#pragma once

#include <nng/nng.h>

#include <memory>

namespace winchhall::cluster {

// The open connections (NNG: pipes) of one socket, as NNG reports them on its own threads. Attached to the
// socket before it dials or listens. Must live until the socket is closed: owned by the socket's owner, then
// by the background closer. Thread-safe.
class SocketPipes {
 public:
  SocketPipes();
  ~SocketPipes();
  SocketPipes(const SocketPipes&) = delete;
  SocketPipes& operator=(const SocketPipes&) = delete;

  // Registers for the connection events of `socket`. To be called once, before it has a dialer or listener.
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

// Takes ownership of a socket whose dialers and listeners are closed and whose receive operations have ended.
// Returns at once.
//
// nng_close() of NNG 1.5 aborts the process ("pthread_mutex_lock: Invalid argument"), or never returns, if
// connections of the socket are being established or closed at the same time. Therefore a background thread
// calls it at least one second after all connections have ended, and the event loop never waits for it. A
// socket whose connections don't end stays open until the process ends. Thread-safe.
void close_socket_in_background(nng_socket socket, std::unique_ptr<SocketPipes> pipes);

}  // namespace winchhall::cluster
