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

// One per process. Everything runs on one event loop in the thread that calls `run`. Ignores SIGPIPE.
class Process {
 public:
  explicit Process(NodeSettings settings);

  boost::asio::io_context& loop() { return loop_; }
  Runtime& runtime() { return runtime_; }
  // As read at the start.
  const NodeSettings& settings() const { return settings_; }

  // Serves RPC requests on `address` until the end of the process. Errors: NngFailure.
  leaf::result<void> listen(const Address& address, RequestHandler handler);

  // Sets the handler of SIGTERM and SIGINT. It is called once; the process ends when it calls `done`.
  void on_stop(std::function<void(std::function<void()> done)> stop);

  // Sets the handler of changes of those settings that may change at run time; it gets the settings in
  // effect. The file is read again at SIGHUP and, after this call, when polling detects a change.
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
