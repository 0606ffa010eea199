#include "aggregator/admin/door.hpp"

#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <list>
#include <system_error>
#include <vector>

namespace winchhall::door {
namespace {

constexpr int kBacklog = 128;          // callers that wait to be let in
constexpr double kAnswerWithin = 600;  // ms that the loop has for an answer: one is owed in 1 s
constexpr double kHold = 5000;         // ms for a caller to say its line
constexpr double kClosing = 500;       // ms for a caller to take its answer
constexpr std::size_t kReadMost = kLineMost + 64;

double now_ms() {
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

void ring(const net::UniqueFd& bell) {
  std::uint64_t one = 1;
  // It can only fail where the bell has been rung already and not been heard.
  [[maybe_unused]] ssize_t n = ::write(bell.get(), &one, sizeof one);
}

void hush(const net::UniqueFd& bell) {
  std::uint64_t rung = 0;
  [[maybe_unused]] ssize_t n = ::read(bell.get(), &rung, sizeof rung);
}

net::UniqueFd bell() {
  net::UniqueFd fd(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC));
  if (!fd) throw std::system_error(errno, std::generic_category(), "eventfd");
  return fd;
}

}  // namespace

struct Door::Caller {
  std::uint64_t number = 0;
  net::UniqueFd fd;
  double since = 0;  // of the state it is in
  enum class State { speaking, waiting, closing } state = State::speaking;
  Call call = Call::ready;
  std::string in{};

  void say(const Answer& answer) {
    std::string line = answer.line();
    // A line fits into the socket's buffer: nobody has written to it before.
    [[maybe_unused]] ssize_t n = ::send(fd.get(), line.data(), line.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    ::shutdown(fd.get(), SHUT_WR);
    state = State::closing;
    since = now_ms();
  }
};

Door::Door(net::Loop& loop, const sockaddr_in& address, std::function<Answer(Call)> obey)
    : loop_(loop),
      obey_(std::move(obey)),
      listener_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)),
      to_loop_(bell()),
      to_door_(bell()) {
  int on = 1;
  sockaddr_in bound = address;
  socklen_t size = sizeof bound;
  if (!listener_ || ::setsockopt(listener_.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) < 0 ||
      ::bind(listener_.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) < 0 ||
      ::listen(listener_.get(), kBacklog) < 0 ||
      ::getsockname(listener_.get(), reinterpret_cast<sockaddr*>(&bound), &size) < 0)
    throw std::system_error(errno, std::generic_category(), "the operators' door");
  port_ = ntohs(bound.sin_port);
  loop_.add(to_loop_.get(), POLLIN, [this](short) { deliver(); });
  thread_ = std::thread([this] { work(); });
}

Door::~Door() {
  ending_.store(true);
  ring(to_door_);
  thread_.join();
  loop_.remove(to_loop_.get());
}

// On the loop: carries out what was called for.
void Door::deliver() {
  hush(to_loop_);
  bool any = false;
  for (Asked a; asked_.try_dequeue(a); any = true)
    // A ring that is full drops the answer and not the order: the door has its own for a loop that says
    // nothing.
    told_.try_enqueue({a.caller, obey_(a.call)});
  if (any) ring(to_door_);
}

void Door::work() {
  std::list<Caller> callers;
  std::uint64_t next = 1;
  while (!ending_.load()) {
    std::vector<pollfd> polled{{to_door_.get(), POLLIN, 0}, {listener_.get(), POLLIN, 0}};
    double now = now_ms(), wait = 60000;
    for (const Caller& c : callers) {
      double limit = c.state == Caller::State::speaking  ? kHold
                     : c.state == Caller::State::waiting ? kAnswerWithin
                                                         : kClosing;
      wait = std::min(wait, c.since + limit - now);
      polled.push_back({c.fd.get(), static_cast<short>(c.state == Caller::State::waiting ? 0 : POLLIN), 0});
    }
    ::poll(polled.data(), polled.size(), static_cast<int>(std::clamp(wait + 1, 0.0, 60000.0)));
    now = now_ms();
    if (polled[0].revents) hush(to_door_);

    std::size_t i = 2;
    for (Caller& c : callers) {
      short events = polled[i++].revents;
      if (events == 0) continue;
      char buffer[kReadMost];
      ssize_t n = ::recv(c.fd.get(), buffer, sizeof buffer, 0);
      if (n < 0 && (errno == EAGAIN || errno == EINTR)) continue;
      if (c.state != Caller::State::speaking) {
        if (n <= 0 && c.state == Caller::State::closing) c.since = now - 2 * kClosing;
        continue;
      }
      if (n > 0) c.in.append(buffer, static_cast<std::size_t>(n));
      Heard heard = hear(c.in, n <= 0);
      if (!heard.why.empty()) c.say({false, heard.why});
      if (!heard.call) continue;
      c.call = *heard.call;
      c.state = Caller::State::waiting;
      c.since = now;
      if (!asked_.try_enqueue({c.number, c.call})) c.say({false, "busy: too many calls at once"});
      ring(to_loop_);
    }
    for (Told t; told_.try_dequeue(t);)
      for (Caller& c : callers)
        if (c.number == t.caller && c.state == Caller::State::waiting) c.say(t.answer);
    for (Caller& c : callers) {
      if (c.state == Caller::State::speaking && now >= c.since + kHold)
        c.say({false, "no whole line in time"});
      // Guards against a loop that is held up: an order is carried out when it comes to it, and /ready is as
      // it was.
      if (c.state == Caller::State::waiting && now >= c.since + kAnswerWithin) {
        bool yes = c.call != Call::ready || serving_.load(std::memory_order_relaxed);
        c.say({yes, c.call == Call::ready ? "as last told" : "ordered, not yet carried out"});
      }
    }
    callers.remove_if(
        [&](const Caller& c) { return c.state == Caller::State::closing && now >= c.since + kClosing; });

    while (polled[1].revents) {
      net::UniqueFd fd(::accept4(listener_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
      if (!fd) break;
      // Guards against callers that hold every place and say nothing: the one that has stood there for
      // longest without a whole line goes, and those whose answer is out before it.
      if (callers.size() >= kCallersMost) {
        auto worth = [](const Caller& c) {
          return c.state == Caller::State::closing ? 2 : c.state == Caller::State::speaking ? 1 : 0;
        };
        auto out = std::max_element(callers.begin(), callers.end(), [&](const Caller& a, const Caller& b) {
          return worth(a) != worth(b) ? worth(a) < worth(b) : a.since > b.since;
        });
        if (worth(*out) == 0) continue;  // all wait for the loop: this one goes
        if (out->state == Caller::State::speaking) out->say({false, "busy: others call"});
        callers.erase(out);
      }
      callers.push_back({next++, std::move(fd), now});
    }
  }
}

}  // namespace winchhall::door
