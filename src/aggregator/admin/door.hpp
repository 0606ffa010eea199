// The operators' door: one line to a connection, answered by ACK or NAK and a word of why. It has a thread of
// its own, so that an answer comes in time however busy the loop is and whoever else holds a connection here;
// calls and answers pass between the two in bounded rings.
#pragma once

#include <netinet/in.h>
#include <readerwriterqueue/readerwriterqueue.h>

#include <atomic>
#include <functional>
#include <thread>

#include "aggregator/admin/words.hpp"
#include "aggregator/event_loop/fd.hpp"
#include "aggregator/event_loop/loop.hpp"

namespace winchhall::door {

class Door {
 public:
  // `obey` runs on the loop. `spare` answers `ready` where the loop has no time for it: it reads what the
  // loop told last by serving(). Throws std::system_error if the address cannot be had.
  Door(net::Loop& loop, const sockaddr_in& address, std::function<Answer(Call)> obey);
  ~Door();
  Door(const Door&) = delete;
  Door& operator=(const Door&) = delete;

  void serving(bool yes) { serving_.store(yes, std::memory_order_relaxed); }
  int port() const { return port_; }

  static constexpr std::size_t kCallersMost =
      24;  // connections at once, out of descriptors set aside for them

 private:
  struct Asked {
    std::uint64_t caller = 0;
    Call call = Call::ready;
  };
  struct Told {
    std::uint64_t caller = 0;
    Answer answer{};
  };
  struct Caller;
  void work();
  void deliver();

  net::Loop& loop_;
  std::function<Answer(Call)> obey_;
  net::UniqueFd listener_, to_loop_, to_door_;
  moodycamel::ReaderWriterQueue<Asked> asked_{kCallersMost};
  moodycamel::ReaderWriterQueue<Told> told_{kCallersMost};
  std::atomic<bool> serving_{false}, ending_{false};
  int port_ = 0;
  std::thread thread_;
};

}  // namespace winchhall::door
