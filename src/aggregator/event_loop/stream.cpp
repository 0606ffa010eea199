#include "aggregator/event_loop/stream.hpp"

#include <fcntl.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <system_error>

namespace winchhall::event_loop {
namespace {
constexpr std::size_t kInMost = 96 * 1024;           // bytes held for an owner that does not take them
constexpr std::size_t kWriteChunkBytes = 32 * 1024;  // bytes shown to the owner at a time
constexpr std::size_t kTurnMost = 256 * 1024;        // bytes read in one turn: others come to their turn too
constexpr std::size_t kKeep = 16 * 1024;  // bytes of an empty buffer that are kept for the next use

// Guards against memory held by connections that were busy once: hundreds of them stand idle.
void shrink(std::string& buffer) {
  if (buffer.empty() && buffer.capacity() > kKeep) std::string().swap(buffer);
}

void no_delay(int fd) {
  int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}
}  // namespace

Stream::Stream(Loop& loop, UniqueFd fd, Owner& owner, bool connecting)
    : loop_(loop), fd_(std::move(fd)), owner_(&owner), connecting_(connecting) {}

std::shared_ptr<Stream> Stream::adopt(Loop& loop, UniqueFd fd, Owner& owner) {
  no_delay(fd.get());
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
  no_delay(fd.get());
  int done = ::connect(fd.get(), reinterpret_cast<const sockaddr*>(&to), sizeof to);
  bool refused = done < 0 && errno != EINPROGRESS;
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
  if (!open() || broken_) return;
  short events = 0;
  if (connecting_ || unsent() > 0) events |= POLLOUT;
  if (!connecting_ && in_.size() < kInMost) events |= POLLIN;
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
  // Guards against a busy loop: a peer that is gone stays ready, and a full buffer would never be read from.
  if (open() && in_.size() >= kInMost && (events & (POLLHUP | POLLERR))) return fail(events & POLLERR);
  if (open() && (events & (POLLIN | POLLHUP | POLLERR))) read();
  if (open() && (events & POLLOUT)) flush();
  update();
}

void Stream::read() {
  char buffer[16384];
  if (open() && !owner_ && rested_ && ::recv(fd_.get(), buffer, 1, MSG_PEEK) > 0) return close();
  bool over = false, reset = false;
  for (std::size_t taken = 0; open() && !broken_ && in_.size() < kInMost && taken < kTurnMost;) {
    ssize_t n = ::recv(fd_.get(), buffer, sizeof buffer, 0);
    if (n > 0) {
      in_.append(buffer, static_cast<std::size_t>(n));
      taken += static_cast<std::size_t>(n);
      if (!owner_) in_.clear();
      if (in_.size() >= kWriteChunkBytes) owner_->received(in_);
      continue;
    }
    if (n < 0 && errno == EINTR) continue;
    reset = n < 0 && errno != EAGAIN && errno != EWOULDBLOCK;
    over = n == 0 || reset;
    break;
  }
  // What came before the end counts, even where both are found at once.
  if (open() && !broken_ && owner_ && !in_.empty()) owner_->received(in_);
  shrink(in_);
  if (over && open()) fail(reset);
}

void Stream::read_now() {
  if (!open() || broken_ || connecting_) return;
  read();
  update();
}

void Stream::half_close() {
  if (open() && !broken_) ::shutdown(fd_.get(), SHUT_WR);
}

void Stream::show_again() {
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
  bool had = unsent() > 0;
  while (open() && !broken_ && unsent() > 0) {
    ssize_t n = ::send(fd_.get(), out_.data() + out_at_, unsent(), MSG_NOSIGNAL);
    if (n < 0 && errno == EINTR) continue;
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) break;
    if (n < 0) return fail(true);
    out_at_ += static_cast<std::size_t>(n);
    flushed_ += static_cast<std::uint64_t>(n);
  }
  if (out_at_ == out_.size() || out_at_ > 65536) {
    out_.erase(0, out_at_);
    out_at_ = 0;
    shrink(out_);
  }
  if (had && unsent() == 0 && open() && !owner_) linger_on(reading_);
  if (had && unsent() == 0 && open() && owner_) {
    loop_.defer([weak = weak_from_this()] {
      auto self = weak.lock();
      if (self && self->open() && self->owner_ && self->unsent() == 0) self->owner_->drained();
    });
  }
}

// The owner hears of it at the end of the turn: it may be in the middle of a write.
void Stream::fail(bool reset) {
  if (broken_ || !open()) return;
  broken_ = true;
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

void Stream::linger(Millis writing, Millis reading, bool rested) {
  rested_ = rested;
  owner_ = nullptr;
  in_.clear();
  if (!usable() || connecting_) return close();
  reading_ = reading;
  update();
  linger_on(unsent() > 0 ? writing : reading);
}

// Holds itself for so long: nobody else does.
void Stream::linger_on(Millis most) {
  if (unsent() == 0) half_close();
  loop_.cancel(linger_);
  linger_ = loop_.run_at(loop_.now() + most, [self = shared_from_this()] { self->close(); });
}

void Stream::close() {
  if (!open()) return;
  // Not erased under its own feet where it is this timer that closes: then it has left the loop's table.
  loop_.cancel(linger_);
  if (!broken_) loop_.remove(fd_.get());
  fd_.reset();
}

}  // namespace winchhall::event_loop
