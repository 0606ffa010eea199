// What the long-running processes share: one event loop, timers, calls, internal listeners, signals, the
// settings file.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <functional>
#include <memory>

#include "cluster/common/asio_runtime.hpp"
#include "cluster/common/settings.hpp"
#include "cluster/common/settings_watcher.hpp"
#include "cluster/rpc/rpc_client.hpp"
#include "cluster/rpc/rpc_server.hpp"

namespace winchhall::cluster {

class Process {
 public:
  explicit Process(NodeSettings settings);

  boost::asio::io_context& loop() { return loop_; }
  Runtime& runtime() { return runtime_; }
  // As read at the start.
  const NodeSettings& settings() const { return settings_; }

  // Takes requests of other processes on `address`. Errors: NngFailure.
  leaf::result<void> listen(const Address& address, RequestHandler handler);
  // Calls `stop` once at SIGTERM or SIGINT; the process ends when `stop` calls its argument.
  void on_stop(std::function<void(std::function<void()> done)> stop);
  // Calls `change` with the settings in force after each change of what may change at run time. The file is
  // read again at SIGHUP and, once this was called, when a poll finds that it has changed.
  void on_settings(std::function<void(const NodeSettings& settings)> change);
  // Runs until stopped.
  void run();

 private:
  void wait_for_signal();
  void stop();

  NodeSettings settings_;
  boost::asio::io_context loop_{1};
  AsioRuntime runtime_;
  RpcClient dialer_;
  std::vector<std::shared_ptr<RpcServer>> listeners_;
  boost::asio::signal_set signals_;
  SettingsWatcher settings_watcher_;
  std::function<void(const NodeSettings&)> on_settings_;
  std::function<void(std::function<void()>)> on_stop_;
  bool stopping_ = false;
};

}  // namespace winchhall::cluster
