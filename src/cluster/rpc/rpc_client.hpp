// Requests to other processes over NNG sockets (request side of the request/reply protocol in raw mode).
//
// One call is one request message and one reply message, matched by a call id. The raw mode is used because
// it never sends again by itself and lets many calls be under way. A peer that goes silent (a cut link, a
// machine without power) shows no error: when nothing came back for a while, a second connection is dialled
// beside the first, both carry the requests, and whichever brings an answer first stays.
#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <unordered_map>

#include "cluster/common/asio_runtime.hpp"

namespace winchhall::cluster {

class PeerConnections;

class RpcClient : public RpcChannel {
 public:
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

  void answered(const Address& peer, wire::Envelope reply);
  void time_out(std::uint32_t call_id);
  void finish(std::uint32_t call_id, CallResult result);
  void schedule_sweep();
  void sweep();

  boost::asio::io_context& loop_;
  Runtime& runtime_;
  std::uint32_t last_call_id_;
  std::unordered_map<std::uint32_t, PendingCall> calls_;
  std::unordered_map<Address, std::unique_ptr<PeerConnections>> links_;
  std::unique_ptr<Timer> sweep_timer_;
};

}  // namespace winchhall::cluster
