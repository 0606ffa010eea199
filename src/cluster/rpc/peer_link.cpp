#include "cluster/rpc/peer_link.hpp"

#include "cluster/rpc/request_socket.hpp"

namespace winchhall::cluster {

namespace {

constexpr Millis kDialSpacing{250};  // between connections that are dialled beside one another
constexpr std::size_t kMostSockets = 4;

}  // namespace

PeerLink::PeerLink(boost::asio::io_context& loop, Runtime& runtime, Address peer, OnReply on_reply)
    : loop_(loop), runtime_(runtime), peer_(std::move(peer)), on_reply_(std::move(on_reply)) {
  last_used_ = last_received_ = last_dialled_ = runtime_.now();
  if (auto socket = open_socket()) sockets_.push_back(std::move(socket));
}

PeerLink::~PeerLink() {
  for (const auto& socket : sockets_) socket->close();
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

// The first one is kept: it may be up still and answers soonest after a cut. Of the others the oldest goes,
// as its opening packets come at the longest intervals.
void PeerLink::dial_beside() {
  last_dialled_ = runtime_.now();
  auto socket = open_socket();
  if (!socket) return;
  if (sockets_.size() >= kMostSockets) {
    sockets_[1]->close();
    sockets_.erase(sockets_.begin() + 1);
  }
  sockets_.push_back(std::move(socket));
}

void PeerLink::send(const std::string& body, std::uint32_t call_id) {
  last_used_ = runtime_.now();
  if (suspect_ && last_used_ - last_dialled_ >= kDialSpacing) dial_beside();
  for (const auto& socket : sockets_) socket->send(body, call_id);
}

void PeerLink::received(const std::shared_ptr<RequestSocket>& socket, wire::Envelope reply) {
  suspect_ = false;
  last_received_ = runtime_.now();
  for (const auto& other : sockets_)
    if (other != socket) other->close();
  sockets_.assign(1, socket);
  on_reply_(std::move(reply));
}

}  // namespace winchhall::cluster
