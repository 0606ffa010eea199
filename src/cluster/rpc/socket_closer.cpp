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
  // Not under the lock: NNG may report the end from within the call.
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

// Between the end of a socket's last connection and nng_close(): NNG frees the connections on threads of its
// own.
constexpr std::chrono::milliseconds kQuietTime{1000};
constexpr std::chrono::milliseconds kCheckInterval{200};

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
    Clock::time_point busy_at;  // when a connection was seen last, or when it was added
  };

  [[noreturn]] void run() {
    for (;;) {
      for (ClosingSocket& closing : take_quiet()) nng_close(closing.socket);
      std::this_thread::sleep_for(kCheckInterval);
    }
  }
  // Waits while there is no socket at all.
  std::vector<ClosingSocket> take_quiet() {
    std::unique_lock lock(mutex_);
    added_.wait(lock, [this] { return !sockets_.empty(); });
    const Clock::time_point now = Clock::now();
    const auto quiet = std::partition(sockets_.begin(), sockets_.end(), [now](ClosingSocket& closing) {
      if (!closing.pipes->empty()) closing.busy_at = now;
      return now - closing.busy_at < kQuietTime;
    });
    std::vector<ClosingSocket> taken(std::make_move_iterator(quiet), std::make_move_iterator(sockets_.end()));
    sockets_.erase(quiet, sockets_.end());
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
