#include "cluster/rpc/peer_link.hpp"

#include "cluster/rpc/request_socket.hpp"

namespace winchhall::cluster {

namespace {

constexpr Millis kSecondaryPatience{
    1000};  // a fresh connection that brings nothing for so long is dialled anew

}  // namespace

PeerLink::PeerLink(boost::asio::io_context& loop, Runtime& runtime, Address peer, OnReply on_reply)
    : loop_(loop), runtime_(runtime), peer_(std::move(peer)), on_reply_(std::move(on_reply)) {
  primary_ = open_socket();
  last_used_ = last_received_ = secondary_opened_ = runtime_.now();
}

PeerLink::~PeerLink() {
  if (primary_) primary_->close();
  if (secondary_) secondary_->close();
}

std::shared_ptr<RequestSocket> PeerLink::open_socket() {
  return RequestSocket::open(loop_, peer_,
                             [this](const std::shared_ptr<RequestSocket>& socket, wire::Envelope reply) {
                               received(socket, std::move(reply));
                             });
}

void PeerLink::call_timed_out(TimePoint sent_at) {
  if (last_received_ < sent_at) suspect_ = true;
}

void PeerLink::send(const std::string& body, std::uint32_t call_id) {
  const TimePoint now = runtime_.now();
  last_used_ = now;
  const bool secondary_is_stale = secondary_ && now - secondary_opened_ > kSecondaryPatience;
  if (suspect_ && (!secondary_ || secondary_is_stale)) {
    if (secondary_) secondary_->close();
    secondary_ = open_socket();
    secondary_opened_ = now;
  }
  if (primary_) primary_->send(body, call_id);
  if (secondary_) secondary_->send(body, call_id);
}

void PeerLink::received(const std::shared_ptr<RequestSocket>& socket, wire::Envelope reply) {
  suspect_ = false;
  last_received_ = runtime_.now();
  if (socket == secondary_) {
    std::swap(primary_, secondary_);
  }
  if (secondary_) {
    secondary_->close();
    secondary_.reset();
  }
  on_reply_(std::move(reply));
}

}  // namespace winchhall::cluster
