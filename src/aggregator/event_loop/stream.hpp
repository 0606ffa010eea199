// Non-blocking TCP on the event loop: a stream with a bounded input buffer that reports to its owner, and a
// listener.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "aggregator/event_loop/address.hpp"
#include "aggregator/event_loop/event_loop.hpp"
#include "aggregator/event_loop/fd.hpp"

namespace winchhall::event_loop {

// A TCP connection. Owns its descriptor and buffers, not its owner, which must outlive it unless it calls
// close() or linger() first. Callbacks of the owner come from the event loop's thread.
class Stream : public std::enable_shared_from_this<Stream> {
 public:
  class Owner {
   public:
    virtual void connected() {}
    // Consumes bytes from the front of `in`; the remainder is passed again together with the next input.
    virtual void received(std::string& in) = 0;
    // All written bytes are in the kernel.
    virtual void drained() {}
    // The connection was closed or reset by the peer, or could not be established. Not called after close()
    // or linger().
    virtual void ended() = 0;

   protected:
    ~Owner() = default;
  };

  // Takes over an accepted connection.
  static std::shared_ptr<Stream> adopt(Loop& loop, UniqueFd fd, Owner& owner);
  // Starts a connection attempt. Null if no socket could be created (`error` is set to errno); any later
  // failure is reported by ended().
  static std::shared_ptr<Stream> connect(Loop& loop, const sockaddr_in& to, Owner& owner, int& error);

  Stream(Loop& loop, UniqueFd fd, Owner& owner, bool connecting);
  ~Stream() { close(); }

  // Sends what the kernel takes at once and buffers the rest, without a limit.
  void write(std::string_view bytes);
  // Closes at once and drops unsent data.
  void close();
  // Lingering close, for connections on which the peer may still be sending: a plain close() with unread
  // input resets the connection, and the peer may lose the last bytes written to it. Sends unsent data for up
  // to `write_timeout` ms, shuts down the sending side, then reads and discards input until the peer closes
  // or for `read_timeout` ms. The owner gets no more callbacks and may be destroyed. `reset_on_input`: for a
  // peer that has received everything written; further input is left unread and resets the connection, so
  // that the peer learns at once that it was not processed.
  void linger(Millis write_timeout, Millis read_timeout, bool reset_on_input = false);
  // Reads what has arrived without waiting for the event loop, and passes it to the owner.
  void read_now();
  // Shuts down the sending side; input is still read.
  void half_close();
  // Passes the buffered input to received() again, at the end of this iteration.
  void redeliver();
  bool open() const { return static_cast<bool>(fd_); }
  bool usable() const { return open() && !failed_; }  // false as soon as its end is detected
  bool connecting() const { return connecting_; }
  // For the owner's ended(): closed with an error instead of an orderly end.
  bool reset() const { return reset_; }
  // Likewise: the connection was never established.
  bool refused() const { return connecting_ && reset_; }
  std::size_t unsent() const { return out_.size() - out_sent_; }  // bytes
  std::uint64_t flushed() const { return flushed_; }              // total bytes accepted by the kernel
  std::uint64_t queued() const { return flushed_ + unsent(); }    // total bytes passed to write()

 private:
  void start();
  void ready(short events);
  void read();
  void flush();
  void update();
  void fail(bool reset);
  void restart_linger_timer(Millis timeout);

  Loop& loop_;
  UniqueFd fd_;
  Owner* owner_;                    // null: lingering
  Millis linger_read_timeout_ = 0;  // ms, from the last byte sent
  TimerId linger_timer_{};
  bool reset_on_input_ = false;
  bool connecting_, failed_ = false, reset_ = false;
  std::string in_, out_;
  std::size_t out_sent_ = 0;  // bytes of out_ already sent
  std::uint64_t flushed_ = 0;
};

// Listening TCP socket. Owns its descriptor; accepted connections go to the `accepted` callback.
class Listener {
 public:
  // Throws std::system_error if the address cannot be bound.
  // `shared`: other processes of this user may listen on the same address (SO_REUSEPORT).
  Listener(Loop& loop, const sockaddr_in& address, std::function<void(UniqueFd)> accepted,
           bool shared = false);
  ~Listener() { close(); }
  void close();
  // Directs all new connections of a shared address to this listener. `earlier_listeners`: number of
  // listeners in the group that began before this one. False if the kernel does not support it; connections
  // are then distributed over all listeners.
  bool steer_here(int earlier_listeners);
  // Accepts the connections waiting in the queue (up to 64): closing the listener would reset them.
  void accept_now();
  // Accepts nothing for `duration` ms.
  void pause(Millis duration);
  int port() const { return port_; }

 private:
  Loop& loop_;
  UniqueFd fd_;
  std::function<void(UniqueFd)> accepted_;
  TimerId resume_timer_{};
  int port_ = 0;
};

}  // namespace winchhall::event_loop
