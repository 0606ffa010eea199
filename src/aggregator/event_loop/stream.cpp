#include "aggregator/event_loop/stream.hpp"

#include <fcntl.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <system_error>

namespace winchhall::event_loop {
namespace {
constexpr std::size_t kMaxInputBytes = 96 * 1024;  // buffered for an owner that does not consume them
constexpr std::size_t kDeliveryBytes = 32 * 1024;  // passed to the owner as soon as so much is buffered
constexpr std::size_t kMaxReadBytesPerIteration = 256 * 1024;  // so that other connections are served too
constexpr std::size_t kRetainedCapacityBytes = 16 * 1024;      // of an empty buffer, kept for reuse

// Hundreds of connections are idle at a time: those that were busy once must not keep large buffers.
void release_excess_capacity(std::string& buffer) {
  if (buffer.empty() && buffer.capacity() > kRetainedCapacityBytes) std::string().swap(buffer);
}

void set_no_delay(int fd) {
  int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}
}  // namespace

Stream::Stream(Loop& loop, UniqueFd fd, Owner& owner, bool connecting)
    : loop_(loop), fd_(std::move(fd)), owner_(&owner), connecting_(connecting) {}

std::shared_ptr<Stream> Stream::adopt(Loop& loop, UniqueFd fd, Owner& owner) {
  set_no_delay(fd.get());
  auto stream = std::make_shared<Stream>(loop, std::move(fd), owner, false);
  stream->start();
  return stream;
}

std::shared_ptr<Stream> Stream::connect(Loop& loop, const sockaddr_in& to, Owner& owner, int& error) {
  UniqueFd fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!fd) {
    error = errno;
    return nullptr;
  }
  set_no_delay(fd.get());
  int result = ::connect(fd.get(), reinterpret_cast<const sockaddr*>(&to), sizeof to);
  bool refused = result < 0 && errno != EINPROGRESS;
  auto stream = std::make_shared<Stream>(loop, std::move(fd), owner, true);
  stream->start();
  if (refused) stream->fail(true);
  return stream;
}

void Stream::start() {
  loop_.add(fd_.get(), 0, [weak = weak_from_this()](short events) {
    if (auto self = weak.lock()) self->ready(events);
  });
  update();
}

void Stream::update() {
  if (!open() || failed_) return;
  short events = 0;
  if (connecting_ || unsent() > 0) events |= POLLOUT;
  if (!connecting_ && in_.size() < kMaxInputBytes) events |= POLLIN;
  loop_.set_events(fd_.get(), events);
}

void Stream::ready(short events) {
  if (connecting_) {
    int error = 0;
    socklen_t size = sizeof error;
    ::getsockopt(fd_.get(), SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0 || (events & (POLLERR | POLLNVAL))) return fail(true);
    connecting_ = false;
    owner_->connected();
  }
  // The descriptor of a closed connection stays ready, but a full buffer is never read into: without this the
  // loop would spin.
  if (open() && in_.size() >= kMaxInputBytes && (events & (POLLHUP | POLLERR))) return fail(events & POLLERR);
  if (open() && (events & (POLLIN | POLLHUP | POLLERR))) read();
  if (open() && (events & POLLOUT)) flush();
  update();
}

void Stream::read() {
  char buffer[16384];
  if (open() && !owner_ && reset_on_input_ && ::recv(fd_.get(), buffer, 1, MSG_PEEK) > 0) return close();
  bool at_end = false, reset = false;
  for (std::size_t read_bytes = 0;
       open() && !failed_ && in_.size() < kMaxInputBytes && read_bytes < kMaxReadBytesPerIteration;) {
    ssize_t n = ::recv(fd_.get(), buffer, sizeof buffer, 0);
    if (n > 0) {
      in_.append(buffer, static_cast<std::size_t>(n));
      read_bytes += static_cast<std::size_t>(n);
      if (!owner_) in_.clear();
      if (in_.size() >= kDeliveryBytes) owner_->received(in_);
      continue;
    }
    if (n < 0 && errno == EINTR) continue;
    reset = n < 0 && errno != EAGAIN && errno != EWOULDBLOCK;
    at_end = n == 0 || reset;
    break;
  }
  // Input received before the end is delivered, even if both are found in the same iteration.
  if (open() && !failed_ && owner_ && !in_.empty()) owner_->received(in_);
  release_excess_capacity(in_);
  if (at_end && open()) fail(reset);
}

void Stream::read_now() {
  if (!open() || failed_ || connecting_) return;
  read();
  update();
}

void Stream::half_close() {
  if (open() && !failed_) ::shutdown(fd_.get(), SHUT_WR);
}

void Stream::redeliver() {
  loop_.defer([weak = weak_from_this()] {
    auto self = weak.lock();
    if (!self || !self->open() || !self->owner_ || self->in_.empty()) return;
    self->owner_->received(self->in_);
    self->update();
  });
}

void Stream::write(std::string_view bytes) {
  if (!open()) return;
  out_.append(bytes);
  if (!connecting_) flush();
  update();
}

void Stream::flush() {
  bool had_unsent = unsent() > 0;
  while (open() && !failed_ && unsent() > 0) {
    ssize_t n = ::send(fd_.get(), out_.data() + out_sent_, unsent(), MSG_NOSIGNAL);
    if (n < 0 && errno == EINTR) continue;
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) break;
    if (n < 0) return fail(true);
    out_sent_ += static_cast<std::size_t>(n);
    flushed_ += static_cast<std::uint64_t>(n);
  }
  if (out_sent_ == out_.size() || out_sent_ > 65536) {
    out_.erase(0, out_sent_);
    out_sent_ = 0;
    release_excess_capacity(out_);
  }
  if (had_unsent && unsent() == 0 && open() && !owner_) restart_linger_timer(linger_read_timeout_);
  if (had_unsent && unsent() == 0 && open() && owner_) {
    loop_.defer([weak = weak_from_this()] {
      auto self = weak.lock();
      if (self && self->open() && self->owner_ && self->unsent() == 0) self->owner_->drained();
    });
  }
}

// The owner is notified at the end of the iteration, since it may be inside a call to write().
void Stream::fail(bool reset) {
  if (failed_ || !open()) return;
  failed_ = true;
  reset_ = reset;
  loop_.set_events(fd_.get(), 0);
  loop_.remove(fd_.get());
  loop_.defer([weak = weak_from_this()] {
    auto self = weak.lock();
    if (!self || !self->open()) return;
    self->close();
    if (self->owner_) self->owner_->ended();
  });
}

void Stream::linger(Millis write_timeout, Millis read_timeout, bool reset_on_input) {
  reset_on_input_ = reset_on_input;
  owner_ = nullptr;
  in_.clear();
  if (!usable() || connecting_) return close();
  linger_read_timeout_ = read_timeout;
  update();
  restart_linger_timer(unsent() > 0 ? write_timeout : read_timeout);
}

// The timer holds the only guaranteed reference to a lingering stream.
void Stream::restart_linger_timer(Millis timeout) {
  if (unsent() == 0) half_close();
  loop_.cancel(linger_timer_);
  linger_timer_ = loop_.run_at(loop_.now() + timeout, [self = shared_from_this()] { self->close(); });
}

void Stream::close() {
  if (!open()) return;
  // If the linger timer itself is running, the loop has already extracted it, so that cancelling does not
  // destroy the running callback.
  loop_.cancel(linger_timer_);
  if (!failed_) loop_.remove(fd_.get());
  fd_.reset();
}

}  // namespace winchhall::event_loop
