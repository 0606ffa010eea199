#include "cluster/cli/process.hpp"

#include <csignal>

#include "cluster/common/log.hpp"

namespace winchhall::cluster {

Process::Process(NodeSettings settings)
    : settings_(std::move(settings)),
      runtime_(loop_),
      dialer_(loop_, runtime_),
      signals_(loop_, SIGTERM, SIGINT, SIGHUP),
      settings_watcher_(runtime_, settings_, [this](const NodeSettings& changed) {
        if (on_settings_) on_settings_(changed);
      }) {
  std::signal(SIGPIPE, SIG_IGN);
  runtime_.use(dialer_);
  wait_for_signal();
}

leaf::result<void> Process::listen(const Address& address, RequestHandler handler) {
  BOOST_LEAF_AUTO(listener, RpcServer::open(loop_, address, std::move(handler)));
  listeners_.push_back(std::move(listener));
  return {};
}

void Process::on_stop(std::function<void(std::function<void()>)> stop) { on_stop_ = std::move(stop); }

void Process::on_settings(std::function<void(const NodeSettings& settings)> change) {
  on_settings_ = std::move(change);
  settings_watcher_.start();
}

void Process::run() { loop_.run(); }

void Process::wait_for_signal() {
  signals_.async_wait([this](const boost::system::error_code& error, int signal) {
    if (error) return;
    if (signal == SIGHUP) {
      settings_watcher_.reload();
    } else {
      stop();
    }
    wait_for_signal();
  });
}

void Process::stop() {
  if (std::exchange(stopping_, true)) return;
  log_event(LogLevel::info, "stopping");
  if (!on_stop_) return loop_.stop();
  on_stop_([this] { loop_.stop(); });
}

}  // namespace winchhall::cluster
