// The environment of all cluster code: clocks, timers, remote calls and random numbers.
//
// Code that depends on `Runtime` alone runs unchanged on `AsioRuntime` (the program) and on the simulated
// runtimes of the tests, where time is virtual and nothing sleeps.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "cluster/wire/cluster.pb.h"

namespace winchhall::cluster {

using SteadyClock = std::chrono::steady_clock;
using TimePoint = SteadyClock::time_point;
using Millis = std::chrono::milliseconds;

// Address of a listener, "ip:port".
using Address = std::string;

// Why a call ended without a response.
enum class CallError {
  timed_out,    // no response arrived within the time-out
  unreachable,  // the peer is known not to be running or not to be reachable
};

// Outcome of a remote call. Even without an answer, the peer may have carried out the request.
struct CallResult {
  std::optional<wire::Envelope> answer;
  CallError error = CallError::timed_out;  // meaningful only without an answer
};

// Handle of a pending timer. Destroying it cancels the timer.
class Timer {
 public:
  virtual ~Timer() = default;
};

// Clocks, timers, remote calls and randomness of one process. Not thread-safe: all members are called on the
// process's event loop, and all callbacks run on it.
class Runtime {
 public:
  virtual ~Runtime() = default;

  // Monotonic time.
  virtual TimePoint now() const = 0;

  // System time in milliseconds since the Unix epoch. May jump in both directions.
  virtual std::int64_t wall_clock_ms() const = 0;

  // Calls `action` once after `delay`, unless the returned timer is destroyed first.
  [[nodiscard]] virtual std::unique_ptr<Timer> after(Millis delay, std::function<void()> action) = 0;

  // Sends `request` to `peer`. `done` is called exactly once, never from within this function. The peer may
  // receive the request twice, or long after the time-out, so every handler must be idempotent.
  virtual void call(const Address& peer, wire::Envelope request, Millis timeout,
                    std::function<void(CallResult)> done) = 0;

  // A uniformly distributed random number.
  virtual std::uint64_t random() = 0;
};

// Sends the response to one request, at any later time. Only the first response counts.
using ReplyCallback = std::function<void(wire::Envelope)>;

// Handles some kinds of incoming requests. Returns false if the request is of another kind; `reply` is then
// not used.
using RequestHandler = std::function<bool(const wire::Envelope& request, const ReplyCallback& reply)>;

}  // namespace winchhall::cluster
