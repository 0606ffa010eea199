#include "aggregator/admin/admin_server.hpp"

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

namespace winchhall::admin {
namespace {

constexpr int kBacklog = 128;  // connections waiting for accept
constexpr double kCommandTimeout =
    600;  // ms for the event loop to execute a command: a reply is due within 1 s
constexpr double kReadTimeout = 5000;  // ms for a client to send its line
constexpr double kCloseTimeout = 500;  // ms for a client to read the reply and close
constexpr std::size_t kMaxReadBytes = kMaxLineBytes + 64;

double now_ms() {
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

void wake(const event_loop::UniqueFd& event) {
  std::uint64_t one = 1;
  // Fails only if the counter is at its maximum, when the reader is woken anyway.
  [[maybe_unused]] ssize_t n = ::write(event.get(), &one, sizeof one);
}

void clear_wakeup(const event_loop::UniqueFd& event) {
  std::uint64_t count = 0;
  [[maybe_unused]] ssize_t n = ::read(event.get(), &count, sizeof count);
}

event_loop::UniqueFd make_eventfd() {
  event_loop::UniqueFd fd(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC));
  if (!fd) throw std::system_error(errno, std::generic_category(), "eventfd");
  return fd;
}

}  // namespace

struct AdminServer::Connection {
  std::uint64_t number = 0;
  event_loop::UniqueFd fd;
  double since = 0;  // when it entered `state`, ms
  enum class State { reading, waiting, closing } state = State::reading;
  Command command = Command::ready;
  std::string in{};

  void send_reply(const Reply& reply) {
    std::string line = reply.line();
    // One line always fits into the empty socket buffer.
    [[maybe_unused]] ssize_t n = ::send(fd.get(), line.data(), line.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    ::shutdown(fd.get(), SHUT_WR);
    state = State::closing;
    since = now_ms();
  }
};

AdminServer::AdminServer(event_loop::Loop& loop, const sockaddr_in& address,
                         std::function<Reply(Command)> handle_command)
    : loop_(loop),
      handle_command_(std::move(handle_command)),
      listener_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)),
      to_loop_(make_eventfd()),
      to_admin_thread_(make_eventfd()) {
  int on = 1;
  sockaddr_in bound = address;
  socklen_t size = sizeof bound;
  if (!listener_ || ::setsockopt(listener_.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) < 0 ||
      ::bind(listener_.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) < 0 ||
      ::listen(listener_.get(), kBacklog) < 0 ||
      ::getsockname(listener_.get(), reinterpret_cast<sockaddr*>(&bound), &size) < 0)
    throw std::system_error(errno, std::generic_category(), "admin port: cannot listen");
  port_ = ntohs(bound.sin_port);
  loop_.add(to_loop_.get(), POLLIN, [this](short) { execute_commands(); });
  thread_ = std::thread([this] { run_admin_thread(); });
}

AdminServer::~AdminServer() {
  stopping_.store(true);
  wake(to_admin_thread_);
  thread_.join();
  loop_.remove(to_loop_.get());
}

// Runs on the event loop.
void AdminServer::execute_commands() {
  clear_wakeup(to_loop_);
  bool any = false;
  for (PendingCommand a; commands_.try_dequeue(a); any = true)
    // A full queue drops only the reply, not the command: the admin thread then replies after its time-out.
    replies_.try_enqueue({a.connection, handle_command_(a.command)});
  if (any) wake(to_admin_thread_);
}

void AdminServer::run_admin_thread() {
  std::list<Connection> connections;
  std::uint64_t next = 1;
  while (!stopping_.load()) {
    std::vector<pollfd> polled{{to_admin_thread_.get(), POLLIN, 0}, {listener_.get(), POLLIN, 0}};
    double now = now_ms(), wait = 60000;
    for (const Connection& c : connections) {
      double limit = c.state == Connection::State::reading   ? kReadTimeout
                     : c.state == Connection::State::waiting ? kCommandTimeout
                                                             : kCloseTimeout;
      wait = std::min(wait, c.since + limit - now);
      polled.push_back(
          {c.fd.get(), static_cast<short>(c.state == Connection::State::waiting ? 0 : POLLIN), 0});
    }
    ::poll(polled.data(), polled.size(), static_cast<int>(std::clamp(wait + 1, 0.0, 60000.0)));
    now = now_ms();
    if (polled[0].revents) clear_wakeup(to_admin_thread_);

    std::size_t i = 2;
    for (Connection& c : connections) {
      short events = polled[i++].revents;
      if (events == 0) continue;
      char buffer[kMaxReadBytes];
      ssize_t n = ::recv(c.fd.get(), buffer, sizeof buffer, 0);
      if (n < 0 && (errno == EAGAIN || errno == EINTR)) continue;
      if (c.state != Connection::State::reading) {
        if (n <= 0 && c.state == Connection::State::closing) c.since = now - 2 * kCloseTimeout;
        continue;
      }
      if (n > 0) c.in.append(buffer, static_cast<std::size_t>(n));
      ParsedLine parsed = parse_line(c.in, n <= 0);
      if (!parsed.why.empty()) c.send_reply({false, parsed.why});
      if (!parsed.command) continue;
      c.command = *parsed.command;
      c.state = Connection::State::waiting;
      c.since = now;
      if (!commands_.try_enqueue({c.number, c.command}))
        c.send_reply({false, "busy: too many calls at once"});
      wake(to_loop_);
    }
    for (PendingReply t; replies_.try_dequeue(t);)
      for (Connection& c : connections)
        if (c.number == t.connection && c.state == Connection::State::waiting) c.send_reply(t.reply);
    for (Connection& c : connections) {
      if (c.state == Connection::State::reading && now >= c.since + kReadTimeout)
        c.send_reply({false, "no whole line in time"});
      // The event loop is busy: the command stays queued and is executed later, `ready` gets the last known
      // state.
      if (c.state == Connection::State::waiting && now >= c.since + kCommandTimeout) {
        bool yes = c.command != Command::ready || serving_.load(std::memory_order_relaxed);
        c.send_reply({yes, c.command == Command::ready ? "as last told" : "ordered, not yet carried out"});
      }
    }
    connections.remove_if([&](const Connection& c) {
      return c.state == Connection::State::closing && now >= c.since + kCloseTimeout;
    });

    while (polled[1].revents) {
      event_loop::UniqueFd fd(::accept4(listener_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
      if (!fd) break;
      // All connections are in use: evicts one that already has its reply, else the one that has been waiting
      // longest without a complete line.
      if (connections.size() >= kMaxConnections) {
        auto eviction_rank = [](const Connection& c) {
          return c.state == Connection::State::closing ? 2 : c.state == Connection::State::reading ? 1 : 0;
        };
        auto evicted = std::max_element(
            connections.begin(), connections.end(), [&](const Connection& a, const Connection& b) {
              return eviction_rank(a) != eviction_rank(b) ? eviction_rank(a) < eviction_rank(b)
                                                          : a.since > b.since;
            });
        if (eviction_rank(*evicted) == 0) continue;  // all wait for the event loop: drops the new one
        if (evicted->state == Connection::State::reading) evicted->send_reply({false, "busy: others call"});
        connections.erase(evicted);
      }
      connections.push_back({next++, std::move(fd), now});
    }
  }
}

}  // namespace winchhall::admin
