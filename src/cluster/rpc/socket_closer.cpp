#include "cluster/rpc/socket_closer.hpp"

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <set>
#include <thread>
#include <utility>
#include <vector>

namespace winchhall::cluster {

struct SocketPipes::State {
  mutable std::mutex mutex;
  std::set<std::uint32_t> open;  // ids of connections
};

SocketPipes::SocketPipes() : state_(std::make_unique<State>()) {}

SocketPipes::~SocketPipes() = default;

void SocketPipes::watch(nng_socket socket) {
  nng_pipe_notify(socket, NNG_PIPE_EV_ADD_PRE, &SocketPipes::on_event, state_.get());
  nng_pipe_notify(socket, NNG_PIPE_EV_REM_POST, &SocketPipes::on_event, state_.get());
}

void SocketPipes::on_event(nng_pipe pipe, nng_pipe_ev event, void* state) {
  auto* pipes = static_cast<State*>(state);
  const std::lock_guard lock(pipes->mutex);
  const auto id = static_cast<std::uint32_t>(nng_pipe_id(pipe));
  if (event == NNG_PIPE_EV_ADD_PRE) {
    pipes->open.insert(id);
  } else {
    pipes->open.erase(id);
  }
}

void SocketPipes::close_all() {
  std::set<std::uint32_t> open;
  {
    const std::lock_guard lock(state_->mutex);
    open = state_->open;
  }
  // Without the lock: NNG may call `on_event` from within nng_pipe_close().
  for (const std::uint32_t id : open) {
    nng_pipe pipe = NNG_PIPE_INITIALIZER;
    pipe.id = id;
    nng_pipe_close(pipe);
  }
}

bool SocketPipes::empty() const {
  const std::lock_guard lock(state_->mutex);
  return state_->open.empty();
}

namespace {

using Clock = std::chrono::steady_clock;

// Time between the end of a socket's last connection and nng_close(): NNG frees the connections
// asynchronously, on threads of its own.
constexpr std::chrono::milliseconds kCloseDelay{1000};
constexpr std::chrono::milliseconds kCheckInterval{200};

// Holds the sockets to be closed, and closes them on one background thread, which the first socket starts.
class SocketCloser {
 public:
  void add(nng_socket socket, std::unique_ptr<SocketPipes> pipes) {
    const std::lock_guard lock(mutex_);
    sockets_.push_back({socket, std::move(pipes), Clock::now()});
    if (!std::exchange(started_, true)) std::thread([this] { run(); }).detach();
    added_.notify_one();
  }

 private:
  struct ClosingSocket {
    nng_socket socket;
    std::unique_ptr<SocketPipes> pipes;
    Clock::time_point last_connected_at;  // last check that found a connection; initially when it was added
  };

  [[noreturn]] void run() {
    for (;;) {
      for (ClosingSocket& closing : take_closable()) nng_close(closing.socket);
      std::this_thread::sleep_for(kCheckInterval);
    }
  }
  // Removes and returns the sockets that can be closed now. Blocks while there is no socket to close.
  std::vector<ClosingSocket> take_closable() {
    std::unique_lock lock(mutex_);
    added_.wait(lock, [this] { return !sockets_.empty(); });
    const Clock::time_point now = Clock::now();
    const auto closable = std::partition(sockets_.begin(), sockets_.end(), [now](ClosingSocket& closing) {
      if (!closing.pipes->empty()) closing.last_connected_at = now;
      return now - closing.last_connected_at < kCloseDelay;
    });
    std::vector<ClosingSocket> taken(std::make_move_iterator(closable),
                                     std::make_move_iterator(sockets_.end()));
    sockets_.erase(closable, sockets_.end());
    return taken;
  }

  std::mutex mutex_;
  std::condition_variable added_;
  std::vector<ClosingSocket> sockets_;
  bool started_ = false;
};

// Never destroyed: its thread runs until the process ends.
SocketCloser& socket_closer() {
  static auto* closer = new SocketCloser;
  return *closer;
}

}  // namespace

void close_socket_in_background(nng_socket socket, std::unique_ptr<SocketPipes> pipes) {
  socket_closer().add(socket, std::move(pipes));
}

}  // namespace winchhall::cluster
