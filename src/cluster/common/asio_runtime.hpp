// Runtime of the program: timers on a Boost.Asio event loop, the machine's clocks, calls over an RPC channel.
#pragma once

#include <boost/asio/io_context.hpp>
#include <random>

#include "cluster/common/runtime.hpp"

namespace winchhall::cluster {

// Transport of remote calls, with the contract of `Runtime::call`.
class RpcChannel {
 public:
  virtual ~RpcChannel() = default;
  virtual void call(const Address& peer, wire::Envelope request, Millis timeout,
                    std::function<void(CallResult)> done) = 0;
};

// `Runtime` on one event loop. Owns neither the loop nor the channel; both must live for as long as the
// runtime is used.
class AsioRuntime : public Runtime {
 public:
  explicit AsioRuntime(boost::asio::io_context& loop);

  // Sets the channel for `call`. Separate from construction because a channel needs a runtime for its timers.
  void set_channel(RpcChannel& channel) { channel_ = &channel; }

  TimePoint now() const override { return SteadyClock::now(); }
  std::int64_t wall_clock_ms() const override;
  [[nodiscard]] std::unique_ptr<Timer> after(Millis delay, std::function<void()> action) override;
  // Precondition: a channel is set.
  void call(const Address& peer, wire::Envelope request, Millis timeout,
            std::function<void(CallResult)> done) override;
  std::uint64_t random() override { return generator_(); }

 private:
  boost::asio::io_context& loop_;
  RpcChannel* channel_ = nullptr;
  std::mt19937_64 generator_;
};

}  // namespace winchhall::cluster
