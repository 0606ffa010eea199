// Connections to one peer: one socket as a rule, further ones beside it while the peer is silent.
#pragma once

#include <nng/nng.h>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cluster/common/runtime.hpp"
#include "cluster/rpc/nng_message.hpp"

namespace winchhall::cluster {

class RequestSocket;

// An opening packet to a machine without power or behind a cut is lost, and TCP sends the next one only after
// a second or more. So while nothing comes back, new connections are dialled beside the older ones, and the
// one that brings an answer first stays alone.
class PeerConnections {
 public:
  using OnReply = std::function<void(wire::Envelope)>;

  PeerConnections(boost::asio::io_context& loop, Runtime& runtime, Address peer, OnReply on_reply);
  ~PeerConnections();

  void send(const std::string& body, std::uint32_t call_id);
  // A call sent at this time had no answer in time. Where nothing else came back since, the connection is
  // suspect.
  void on_call_timeout(TimePoint sent_at);
  TimePoint last_used() const { return last_used_; }

 private:
  std::shared_ptr<RequestSocket> open_socket();
  void dial_additional();
  void received(const std::shared_ptr<RequestSocket>& socket, wire::Envelope reply);

  boost::asio::io_context& loop_;
  Runtime& runtime_;
  Address peer_;
  OnReply on_reply_;
  std::vector<std::shared_ptr<RequestSocket>> sockets_;  // the one that brought an answer last goes first
  TimePoint last_used_;
  TimePoint last_received_;
  TimePoint last_dialled_;
  bool suspect_ = false;
};

}  // namespace winchhall::cluster
