// Admin port for operators (commands in admin_protocol.hpp).
//
// Threads: connections are served by a thread of its own, so that replies come in time however busy the event
// loop is. Commands are executed on the event loop; commands and replies cross in two bounded
// single-producer, single-consumer queues, each with an eventfd for wake-up.
#pragma once

#include <netinet/in.h>
#include <readerwriterqueue/readerwriterqueue.h>

#include <atomic>
#include <functional>
#include <thread>

#include "aggregator/admin/admin_protocol.hpp"
#include "aggregator/event_loop/event_loop.hpp"
#include "aggregator/event_loop/fd.hpp"

namespace winchhall::admin {

// Owns its listener and thread. Constructed, used and destroyed on the event loop's thread.
class AdminServer {
 public:
  // `handle_command` is called on the event loop. Throws std::system_error if the address can't be bound.
  AdminServer(event_loop::Loop& loop, const sockaddr_in& address,
              std::function<Reply(Command)> handle_command);
  ~AdminServer();  // stops the thread and closes all connections
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

  // Sets the reply to `ready` that is given while the event loop doesn't answer in time.
  void serving(bool yes) { serving_.store(yes, std::memory_order_relaxed); }
  // The port bound, also where the address asked for port 0.
  int port() const { return port_; }

  // Maximum of simultaneous connections; descriptors are reserved for them.
  static constexpr std::size_t kMaxConnections = 24;

 private:
  struct PendingCommand {
    std::uint64_t connection = 0;
    Command command = Command::ready;
  };
  struct PendingReply {
    std::uint64_t connection = 0;
    Reply reply{};
  };
  struct Connection;
  void run_admin_thread();  // body of the admin thread
  void execute_commands();  // on the event loop

  event_loop::Loop& loop_;
  std::function<Reply(Command)> handle_command_;
  event_loop::UniqueFd listener_, to_loop_, to_admin_thread_;
  moodycamel::ReaderWriterQueue<PendingCommand> commands_{kMaxConnections};
  moodycamel::ReaderWriterQueue<PendingReply> replies_{kMaxConnections};
  std::atomic<bool> serving_{false}, stopping_{false};
  int port_ = 0;
  std::thread thread_;
};

}  // namespace winchhall::admin
