// Runtime of the program: timers of the Asio loop, the machine's clocks, calls through a `RpcChannel`.
#pragma once

#include <boost/asio/io_context.hpp>
#include <random>

#include "cluster/common/runtime.hpp"

namespace winchhall::cluster {

// Carries requests to other processes; see `Runtime::call` for what is promised.
class RpcChannel {
 public:
  virtual ~RpcChannel() = default;
  virtual void call(const Address& peer, wire::Envelope request, Millis timeout,
                    std::function<void(CallResult)> done) = 0;
};

class AsioRuntime : public Runtime {
 public:
  explicit AsioRuntime(boost::asio::io_context& loop);

  // The channel is given after construction, as it needs a runtime itself. It must outlive the runtime's use.
  void use(RpcChannel& channel) { channel_ = &channel; }

  TimePoint now() const override { return SteadyClock::now(); }
  std::int64_t wall_clock_ms() const override;
  [[nodiscard]] std::unique_ptr<Timer> after(Millis delay, std::function<void()> action) override;
  void call(const Address& peer, wire::Envelope request, Millis timeout,
            std::function<void(CallResult)> done) override;
  std::uint64_t random() override { return generator_(); }

 private:
  boost::asio::io_context& loop_;
  RpcChannel* channel_ = nullptr;
  std::mt19937_64 generator_;
};

}  // namespace winchhall::cluster
