#include "cluster/rpc/rpc_client.hpp"

#include "cluster/rpc/peer_connections.hpp"

namespace winchhall::cluster {

namespace {

constexpr Millis kIdleCheckInterval{5000};
constexpr Millis kIdleConnectionTimeout{20000};
constexpr std::uint32_t kCallIdMask = 0x7fffffffu;  // NNG reserves the highest bit of a request id

}  // namespace

RpcClient::RpcClient(boost::asio::io_context& loop, Runtime& runtime)
    : loop_(loop),
      runtime_(runtime),
      last_call_id_(static_cast<std::uint32_t>(runtime.random()) & kCallIdMask) {
  schedule_idle_check();
}

RpcClient::~RpcClient() = default;

void RpcClient::call(const Address& peer, wire::Envelope request, Millis timeout,
                     std::function<void(CallResult)> done) {
  const std::uint32_t call_id = next_call_id();
  request.set_call_id(call_id);
  PeerConnections& connections = connections_to(peer);
  PendingCall pending{peer, runtime_.now(), std::move(done),
                      runtime_.after(timeout, [this, call_id] { on_timeout(call_id); })};
  calls_.emplace(call_id, std::move(pending));
  connections.send(request.SerializeAsString(), call_id);
}

// Ids wrap around after 2^31 calls; the id of a call that is still pending is skipped.
std::uint32_t RpcClient::next_call_id() {
  do {
    last_call_id_ = (last_call_id_ + 1) & kCallIdMask;
  } while (calls_.contains(last_call_id_));
  return last_call_id_;
}

PeerConnections& RpcClient::connections_to(const Address& peer) {
  std::unique_ptr<PeerConnections>& connections = connections_[peer];
  if (!connections) {
    connections = std::make_unique<PeerConnections>(
        loop_, runtime_, peer, [this, peer](wire::Envelope reply) { on_reply(peer, std::move(reply)); });
  }
  return *connections;
}

// A reply counts only for a pending call to the peer that sent it.
void RpcClient::on_reply(const Address& peer, wire::Envelope reply) {
  const std::uint32_t call_id = reply.call_id();
  const auto call = calls_.find(call_id);
  if (call == calls_.end() || call->second.peer != peer) return;
  finish(call_id, CallResult{std::move(reply), CallError::timed_out});
}

void RpcClient::on_timeout(std::uint32_t call_id) {
  const auto call = calls_.find(call_id);
  if (call == calls_.end()) return;
  const auto connections = connections_.find(call->second.peer);
  if (connections != connections_.end()) connections->second->on_call_timeout(call->second.sent_at);
  finish(call_id, CallResult{});
}

void RpcClient::finish(std::uint32_t call_id, CallResult result) {
  const auto found = calls_.find(call_id);
  if (found == calls_.end()) return;
  const auto done = std::move(found->second.done);
  calls_.erase(found);
  done(std::move(result));
}

void RpcClient::schedule_idle_check() {
  idle_timer_ = runtime_.after(kIdleCheckInterval, [this] {
    close_idle_connections();
    schedule_idle_check();
  });
}

void RpcClient::close_idle_connections() {
  const TimePoint oldest = runtime_.now() - kIdleConnectionTimeout;
  std::erase_if(connections_, [oldest](const auto& entry) { return entry.second->last_used() < oldest; });
}

}  // namespace winchhall::cluster
