// Infrastructure of a long-running process: event loop, runtime, RPC, signals, and the settings file.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <functional>
#include <memory>
#include <vector>

#include "cluster/common/asio_runtime.hpp"
#include "cluster/common/settings.hpp"
#include "cluster/common/settings_watcher.hpp"
#include "cluster/rpc/rpc_client.hpp"
#include "cluster/rpc/rpc_server.hpp"

namespace winchhall::cluster {

// Owns the event loop and everything that runs on it; one object per process. Callbacks run on the thread
// that calls `run`. SIGPIPE is ignored.
class Process {
 public:
  explicit Process(NodeSettings settings);

  boost::asio::io_context& loop() { return loop_; }
  Runtime& runtime() { return runtime_; }
  // The settings as read at the start of the process.
  const NodeSettings& settings() const { return settings_; }

  // Serves RPC requests on `address` until the end of the process. Errors: NngFailure.
  leaf::result<void> listen(const Address& address, RequestHandler handler);

  // Sets the handler for SIGTERM and SIGINT. It is called once, for the first signal; `run` returns after it
  // has called `done`.
  void on_stop(std::function<void(std::function<void()> done)> stop);

  // Sets the handler for changes of settings that take effect at run time; it receives the settings in
  // effect. The file is read again on SIGHUP and, after this call, when polling detects a change.
  void on_settings(std::function<void(const NodeSettings& settings)> change);

  // Runs the event loop until the process is stopped.
  void run();

 private:
  void wait_for_signal();
  void stop();

  NodeSettings settings_;
  boost::asio::io_context loop_{1};
  AsioRuntime runtime_;
  RpcClient rpc_client_;
  std::vector<std::shared_ptr<RpcServer>> rpc_servers_;
  boost::asio::signal_set signals_;
  SettingsWatcher settings_watcher_;
  std::function<void(const NodeSettings&)> on_settings_;
  std::function<void(std::function<void()>)> on_stop_;
  bool stopping_ = false;
};

}  // namespace winchhall::cluster
