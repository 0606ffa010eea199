// TCP sockets: addresses, a listener, and a stream with bounded buffers that reports to its owner.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "aggregator/event_loop/address.hpp"
#include "aggregator/event_loop/fd.hpp"
#include "aggregator/event_loop/loop.hpp"

namespace winchhall::net {

class Stream : public std::enable_shared_from_this<Stream> {
 public:
  class Owner {
   public:
    virtual void connected() {}
    // Takes what it can use from the front of `in`; the rest stays and is shown again with more.
    virtual void received(std::string& in) = 0;
    virtual void drained() {}
    // The peer ended or broke the connection. Not called after close() or linger().
    virtual void ended() = 0;

   protected:
    ~Owner() = default;
  };

  static std::shared_ptr<Stream> adopt(Loop& loop, UniqueFd fd, Owner& owner);
  // Null if no socket could be had (`error` tells errno); a refusal shows as ended().
  static std::shared_ptr<Stream> connect(Loop& loop, const sockaddr_in& to, Owner& owner, int& error);

  Stream(Loop& loop, UniqueFd fd, Owner& owner, bool connecting);
  ~Stream() { close(); }

  void write(std::string_view bytes);
  void close();
  // Lingering close, the way to end a connection that may still bring something: a close over unread bytes
  // resets it, and what was written last goes with it. What waits is written within `writing` ms, then the
  // sending side is shut, and what still comes is read and dropped until the peer's end or for `reading` ms.
  // The owner hears nothing more and may go.
  // `rested`: the peer has had all that we wrote; then what still comes is left unread and the connection
  // reset, which tells the peer at once that nobody has seen it.
  void linger(Millis writing, Millis reading, bool rested = false);
  void read_now();    // does not wait for the next turn: what has come by now is shown
  void half_close();  // no more will be written; what the peer sends is still read
  void show_again();  // has received() called on what is left in the buffer
  bool open() const { return static_cast<bool>(fd_); }
  bool usable() const { return open() && !broken_; }  // false from the moment in which its end was found
  bool connecting() const { return connecting_; }
  // How it ended, for the owner's ended(): broken off with an error, or nobody took it in at all.
  bool reset() const { return reset_; }
  bool refused() const { return connecting_ && reset_; }
  std::size_t unsent() const { return out_.size() - out_at_; }
  std::uint64_t flushed() const { return flushed_; }  // bytes the kernel has taken so far
  std::uint64_t queued() const { return flushed_ + unsent(); }

 private:
  void start();
  void ready(short events);
  void read();
  void flush();
  void update();
  void fail(bool reset);
  void linger_on(Millis most);

  Loop& loop_;
  UniqueFd fd_;
  Owner* owner_;        // null: lingering
  Millis reading_ = 0;  // lingering: for how long, once all is written
  TimerId linger_{};
  bool rested_ = false;
  bool connecting_, broken_ = false, reset_ = false;
  std::string in_, out_;
  std::size_t out_at_ = 0;
  std::uint64_t flushed_ = 0;
};

class Listener {
 public:
  // Throws std::system_error if the address cannot be had.
  // `shared`: other processes of this user may listen there as well (SO_REUSEPORT).
  Listener(Loop& loop, const sockaddr_in& address, std::function<void(UniqueFd)> accepted,
           bool shared = false);
  ~Listener() { close(); }
  void close();
  // Where it is shared with `others` that listened before: new connections all come here from now on. False
  // where the kernel does not do it; then they come to each in turn.
  bool steer_here(int others);
  void accept_now();        // all that wait in the queue: a close would reset them
  void pause(Millis time);  // takes nothing from the queue for so long
  int port() const { return port_; }

 private:
  Loop& loop_;
  UniqueFd fd_;
  std::function<void(UniqueFd)> accepted_;
  TimerId resume_{};
  int port_ = 0;
};

}  // namespace winchhall::net
