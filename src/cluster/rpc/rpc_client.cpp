#include "cluster/rpc/rpc_client.hpp"

#include <boost/asio/post.hpp>

#include "cluster/rpc/peer_connections.hpp"

namespace winchhall::cluster {

namespace {

constexpr Millis kSweepInterval{5000};
constexpr Millis kIdleConnectionTimeout{20000};     // a link unused for so long is closed
constexpr std::uint32_t kCallIdMask = 0x7fffffffu;  // the library keeps the highest bit for itself

}  // namespace

RpcClient::RpcClient(boost::asio::io_context& loop, Runtime& runtime)
    : loop_(loop),
      runtime_(runtime),
      last_call_id_(static_cast<std::uint32_t>(runtime.random()) & kCallIdMask) {
  schedule_sweep();
}

RpcClient::~RpcClient() = default;

void RpcClient::call(const Address& peer, wire::Envelope request, Millis timeout,
                     std::function<void(CallResult)> done) {
  // Ids begin again after 2^31 calls: one that is still open is passed over.
  do {
    last_call_id_ = (last_call_id_ + 1) & kCallIdMask;
  } while (calls_.contains(last_call_id_));
  const std::uint32_t call_id = last_call_id_;
  request.set_call_id(call_id);
  std::unique_ptr<PeerConnections>& link = links_[peer];
  if (!link) {
    link = std::make_unique<PeerConnections>(
        loop_, runtime_, peer, [this, peer](wire::Envelope reply) { answered(peer, std::move(reply)); });
  }
  PendingCall open{peer, runtime_.now(), std::move(done),
                   runtime_.after(timeout, [this, call_id] { time_out(call_id); })};
  calls_.emplace(call_id, std::move(open));
  link->send(request.SerializeAsString(), call_id);
}

// A peer answers only what it was asked: a call that has ended, or one to another peer, is none of its own.
void RpcClient::answered(const Address& peer, wire::Envelope reply) {
  const std::uint32_t call_id = reply.call_id();
  const auto call = calls_.find(call_id);
  if (call == calls_.end() || call->second.peer != peer) return;
  finish(call_id, CallResult{std::move(reply), CallError::timed_out});
}

void RpcClient::time_out(std::uint32_t call_id) {
  const auto call = calls_.find(call_id);
  if (call == calls_.end()) return;
  const auto link = links_.find(call->second.peer);
  if (link != links_.end()) link->second->on_call_timeout(call->second.sent_at);
  finish(call_id, CallResult{});
}

void RpcClient::finish(std::uint32_t call_id, CallResult result) {
  const auto found = calls_.find(call_id);
  if (found == calls_.end()) return;
  const auto done = std::move(found->second.done);
  calls_.erase(found);
  done(std::move(result));
}

void RpcClient::schedule_sweep() {
  sweep_timer_ = runtime_.after(kSweepInterval, [this] {
    sweep();
    schedule_sweep();
  });
}

void RpcClient::sweep() {
  const TimePoint oldest = runtime_.now() - kIdleConnectionTimeout;
  std::erase_if(links_, [oldest](const auto& entry) { return entry.second->last_used() < oldest; });
}

}  // namespace winchhall::cluster
