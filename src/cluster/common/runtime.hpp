// What every part of the cluster needs of its surroundings: time, timers, calls to other processes,
// randomness. The program runs on `AsioRuntime`; tests run many parts on one simulated runtime, so that none
// of them sleeps.
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

// "ip:port" of a process' internal listener.
using Address = std::string;

// Why a call brought no answer.
enum class CallError { timed_out, unreachable };

// The answer to a call, or why there is none. A call that failed may still have been carried out.
struct CallResult {
  std::optional<wire::Envelope> answer;
  CallError error = CallError::timed_out;
};

// Ends a timer when destroyed or reset.
class Timer {
 public:
  virtual ~Timer() = default;
};

// All members are called from, and call back on, the process' one event loop.
class Runtime {
 public:
  virtual ~Runtime() = default;

  virtual TimePoint now() const = 0;
  // Milliseconds since 1970 by the machine's clock, which may jump.
  virtual std::int64_t wall_clock_ms() const = 0;
  // Calls `action` once after `delay`, unless the returned timer is destroyed before.
  [[nodiscard]] virtual std::unique_ptr<Timer> after(Millis delay, std::function<void()> action) = 0;
  // Sends a request. `done` is called exactly once, never from within this function. The receiver may see the
  // request twice or long after the time-out: every handler is idempotent.
  virtual void call(const Address& peer, wire::Envelope request, Millis timeout,
                    std::function<void(CallResult)> done) = 0;
  virtual std::uint64_t random() = 0;
};

// Answers one request, at any later time. Answers after the first are dropped.
using ReplyCallback = std::function<void(wire::Envelope)>;

// Handles one kind or more of incoming requests; false: not of a kind that it handles.
using RequestHandler = std::function<bool(const wire::Envelope& request, const ReplyCallback& reply)>;

}  // namespace winchhall::cluster
