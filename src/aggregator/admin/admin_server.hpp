// The operators' door: one line to a connection, answered by ACK or NAK and a word of why. It has a thread of
// its own, so that an answer comes in time however busy the loop is and whoever else holds a connection here;
// calls and answers pass between the two in bounded rings.
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

class AdminServer {
 public:
  // `obey` runs on the loop. `spare` answers `ready` where the loop has no time for it: it reads what the
  // loop told last by serving(). Throws std::system_error if the address cannot be had.
  AdminServer(event_loop::Loop& loop, const sockaddr_in& address,
              std::function<Reply(Command)> handle_command);
  ~AdminServer();
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

  void serving(bool yes) { serving_.store(yes, std::memory_order_relaxed); }
  int port() const { return port_; }

  static constexpr std::size_t kCallersMost =
      24;  // connections at once, out of descriptors set aside for them

 private:
  struct PendingCommand {
    std::uint64_t caller = 0;
    Command command = Command::ready;
  };
  struct PendingReply {
    std::uint64_t caller = 0;
    Reply reply{};
  };
  struct Caller;
  void work();
  void deliver();

  event_loop::Loop& loop_;
  std::function<Reply(Command)> handle_command_;
  event_loop::UniqueFd listener_, to_loop_, to_admin_thread_;
  moodycamel::ReaderWriterQueue<PendingCommand> commands_{kCallersMost};
  moodycamel::ReaderWriterQueue<PendingReply> replies_{kCallersMost};
  std::atomic<bool> serving_{false}, ending_{false};
  int port_ = 0;
  std::thread thread_;
};

}  // namespace winchhall::admin
