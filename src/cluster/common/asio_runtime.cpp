#include "cluster/common/asio_runtime.hpp"

#include <boost/asio/steady_timer.hpp>
#include <utility>

#include "cluster/common/wall_clock.hpp"

namespace winchhall::cluster {

namespace {

class AsioTimer : public Timer {
 public:
  AsioTimer(boost::asio::io_context& loop, Millis delay, std::function<void()> action)
      : timer_(loop, delay), state_(std::make_shared<State>(State{std::move(action)})) {
    timer_.async_wait([state = state_](const boost::system::error_code& error) {
      if (!error && state->action) std::exchange(state->action, nullptr)();
    });
  }
  // The completion handler of an expired timer may already be queued: it must find nothing to call.
  ~AsioTimer() override { state_->action = nullptr; }

 private:
  struct State {
    std::function<void()> action;
  };
  boost::asio::steady_timer timer_;
  std::shared_ptr<State> state_;
};

}  // namespace

AsioRuntime::AsioRuntime(boost::asio::io_context& loop) : loop_(loop), generator_(std::random_device{}()) {}

std::int64_t AsioRuntime::wall_clock_ms() const { return unix_time_ms(); }

std::unique_ptr<Timer> AsioRuntime::after(Millis delay, std::function<void()> action) {
  return std::make_unique<AsioTimer>(loop_, delay, std::move(action));
}

void AsioRuntime::call(const Address& peer, wire::Envelope request, Millis timeout,
                       std::function<void(CallResult)> done) {
  channel_->call(peer, std::move(request), timeout, std::move(done));
}

}  // namespace winchhall::cluster
