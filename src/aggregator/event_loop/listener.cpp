#include <linux/filter.h>
#include <sys/socket.h>

#include <cerrno>
#include <system_error>

#include "aggregator/event_loop/stream.hpp"

namespace winchhall::event_loop {
namespace {
constexpr Millis kAcceptRetryDelay = 50;  // ms without accepting once descriptors have run out
}  // namespace

Listener::Listener(Loop& loop, const sockaddr_in& address, std::function<void(UniqueFd)> accepted,
                   bool shared)
    : loop_(loop),
      fd_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)),
      accepted_(std::move(accepted)) {
  int on = 1;
  sockaddr_in bound = address;
  socklen_t size = sizeof bound;
  if (!fd_ || ::setsockopt(fd_.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) < 0 ||
      (shared && ::setsockopt(fd_.get(), SOL_SOCKET, SO_REUSEPORT, &on, sizeof on) < 0) ||
      ::bind(fd_.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) < 0 ||
      ::listen(fd_.get(), 512) < 0 ||
      ::getsockname(fd_.get(), reinterpret_cast<sockaddr*>(&bound), &size) < 0)
    throw std::system_error(errno, std::generic_category(), "listen");
  port_ = ntohs(bound.sin_port);
  loop_.add(fd_.get(), POLLIN, [this](short) { accept_now(); });
}

void Listener::accept_now() {
  for (int i = 0; i < 64 && fd_; ++i) {
    UniqueFd fd(::accept4(fd_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (fd) {
      accepted_(std::move(fd));
      continue;
    }
    // Guards against a busy loop when descriptors run out: the queue stays readable all the while.
    if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM)
      return pause(kAcceptRetryDelay);
    if (errno != EINTR && errno != ECONNABORTED) return;
  }
}

// A program of one instruction that names a place in the group of sockets, which stand in the order in which
// they began to listen. A place that is empty by now is no answer, and the kernel chooses as without a
// program.
bool Listener::steer_here(int others) {
  sock_filter here{BPF_RET | BPF_K, 0, 0, static_cast<std::uint32_t>(others)};
  sock_fprog program{1, &here};
  return fd_ && ::setsockopt(fd_.get(), SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, &program, sizeof program) == 0;
}

void Listener::pause(Millis time) {
  if (!fd_) return;
  loop_.set_events(fd_.get(), 0);
  loop_.cancel(resume_);
  resume_ = loop_.run_at(loop_.now() + time, [this] { loop_.set_events(fd_.get(), POLLIN); });
}

void Listener::close() {
  loop_.cancel(resume_);
  if (fd_) loop_.remove(fd_.get());
  fd_.reset();
}

}  // namespace winchhall::event_loop
