// Connections to one peer: normally one; several while the peer doesn't respond.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cluster/common/runtime.hpp"

namespace winchhall::cluster {

class RequestSocket;

// Sends requests to one peer and recovers quickly when the path to it is restored.
//
// A TCP connection attempt to a machine that is off or partitioned away loses its SYN, and TCP retransmits it
// only after a second or more. Therefore, while nothing is received or no connection is established,
// additional connections are opened in parallel, every request is sent on all of them, and the first one that
// delivers a reply is kept while the others are closed. Handlers are idempotent, so a request that arrives on
// several connections is harmless. Not thread-safe: used on the event loop.
class PeerConnections {
 public:
  using ReplyHandler = std::function<void(wire::Envelope)>;

  // `loop` and `runtime` must outlive the connections.
  PeerConnections(boost::asio::io_context& loop, Runtime& runtime, Address peer, ReplyHandler on_reply);
  ~PeerConnections();

  // Sends the serialized request on all connections; opens an additional one first if needed.
  void send(const std::string& body, std::uint32_t call_id);
  // Reports that the call sent at `sent_at` timed out. If nothing was received since then, the connection
  // is suspect, and later sends may open additional ones.
  void on_call_timeout(TimePoint sent_at);
  // Time of the last send; at first, of the construction.
  TimePoint last_used() const { return last_used_; }

 private:
  // True if the next message needs an additional connection: the peer doesn't reply, or no connection is
  // established.
  bool needs_additional() const;
  std::shared_ptr<RequestSocket> open_socket();
  void dial_additional();
  void receive_reply(const std::shared_ptr<RequestSocket>& socket, wire::Envelope reply);

  boost::asio::io_context& loop_;
  Runtime& runtime_;
  Address peer_;
  ReplyHandler on_reply_;
  std::vector<std::shared_ptr<RequestSocket>> sockets_;  // first: the one that delivered the last reply
  TimePoint last_used_;
  TimePoint last_received_;
  TimePoint last_dialled_;
  bool suspect_ = false;  // a call timed out and nothing was received since it was sent
};

}  // namespace winchhall::cluster
