// Connections to one peer: one socket as a rule, a second beside it while the first is silent.
#pragma once

#include <nng/nng.h>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "cluster/common/runtime.hpp"
#include "cluster/rpc/socket.hpp"

namespace winchhall::cluster {

class RequestSocket;

class PeerLink {
 public:
  using OnReply = std::function<void(wire::Envelope)>;

  PeerLink(boost::asio::io_context& loop, Runtime& runtime, Address peer, OnReply on_reply);
  ~PeerLink();

  void send(const std::string& body, std::uint32_t call_id);
  // A call sent at this time had no answer in time. Where nothing else came back since, the connection is
  // suspect.
  void call_timed_out(TimePoint sent_at);
  TimePoint last_used() const { return last_used_; }

 private:
  std::shared_ptr<RequestSocket> open_socket();
  void received(const std::shared_ptr<RequestSocket>& socket, wire::Envelope reply);

  boost::asio::io_context& loop_;
  Runtime& runtime_;
  Address peer_;
  OnReply on_reply_;
  std::shared_ptr<RequestSocket> primary_;
  std::shared_ptr<RequestSocket> secondary_;
  TimePoint last_used_;
  TimePoint last_received_;
  TimePoint secondary_opened_;
  bool suspect_ = false;
};

}  // namespace winchhall::cluster
