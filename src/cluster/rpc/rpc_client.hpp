// Client of the RPC protocol between processes: NNG request/reply sockets in raw mode.
#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <unordered_map>

#include "cluster/common/asio_runtime.hpp"

namespace winchhall::cluster {

class PeerConnections;

// A call is one request message and one reply message, matched by a call id. NNG's raw mode is used because
// it allows many concurrent calls on a socket and never resends by itself. A peer that stops responding
// (partition, power loss) causes no error on its connection; `PeerConnections` handles that case. Connections
// that were not used for 20 s are closed. Not thread-safe: used on the event loop.
class RpcClient : public RpcChannel {
 public:
  // `loop` and `runtime` must outlive the client.
  RpcClient(boost::asio::io_context& loop, Runtime& runtime);
  ~RpcClient() override;

  void call(const Address& peer, wire::Envelope request, Millis timeout,
            std::function<void(CallResult)> done) override;

 private:
  struct PendingCall {
    Address peer;
    TimePoint sent_at;
    std::function<void(CallResult)> done;
    std::unique_ptr<Timer> deadline;
  };

  std::uint32_t next_call_id();
  PeerConnections& connections_to(const Address& peer);
  void on_reply(const Address& peer, wire::Envelope reply);
  void on_timeout(std::uint32_t call_id);
  void finish(std::uint32_t call_id, CallResult result);
  void schedule_idle_check();
  void close_idle_connections();

  boost::asio::io_context& loop_;
  Runtime& runtime_;
  std::uint32_t last_call_id_;
  std::unordered_map<std::uint32_t, PendingCall> calls_;  // by call id
  std::unordered_map<Address, std::unique_ptr<PeerConnections>> connections_;
  std::unique_ptr<Timer> idle_timer_;
};

}  // namespace winchhall::cluster
