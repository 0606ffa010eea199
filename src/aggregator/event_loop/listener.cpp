#include <linux/filter.h>
#include <sys/socket.h>

#include <cerrno>
#include <system_error>

#include "aggregator/event_loop/stream.hpp"

namespace winchhall::event_loop {
namespace {
constexpr Millis kAcceptRetryDelay = 50;  // ms without accepting after descriptors or memory ran out
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
    throw std::system_error(errno, std::generic_category(), "cannot listen");
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
    // The socket stays readable while nothing can be accepted: without the pause the loop would spin.
    if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM)
      return pause(kAcceptRetryDelay);
    if (errno != EINTR && errno != ECONNABORTED) return;
  }
}

// The BPF program is a single instruction that returns an index into the SO_REUSEPORT group, whose sockets
// are ordered by the time of their listen(). If that index is no longer occupied, the kernel selects a socket
// as if there were no program.
bool Listener::steer_here(int earlier_listeners) {
  sock_filter return_index{BPF_RET | BPF_K, 0, 0, static_cast<std::uint32_t>(earlier_listeners)};
  sock_fprog program{1, &return_index};
  return fd_ && ::setsockopt(fd_.get(), SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, &program, sizeof program) == 0;
}

void Listener::pause(Millis duration) {
  if (!fd_) return;
  loop_.set_events(fd_.get(), 0);
  loop_.cancel(resume_timer_);
  resume_timer_ = loop_.run_at(loop_.now() + duration, [this] { loop_.set_events(fd_.get(), POLLIN); });
}

void Listener::close() {
  loop_.cancel(resume_timer_);
  if (fd_) loop_.remove(fd_.get());
  fd_.reset();
}

}  // namespace winchhall::event_loop
