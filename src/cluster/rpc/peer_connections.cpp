#include "cluster/rpc/peer_connections.hpp"

#include <algorithm>

#include "cluster/rpc/request_socket.hpp"

namespace winchhall::cluster {

namespace {

constexpr Millis kMinDialInterval{250};  // shortest time between the openings of additional connections
constexpr std::size_t kMaxSockets = 4;

}  // namespace

PeerConnections::PeerConnections(boost::asio::io_context& loop, Runtime& runtime, Address peer,
                                 ReplyHandler on_reply)
    : loop_(loop), runtime_(runtime), peer_(std::move(peer)), on_reply_(std::move(on_reply)) {
  last_used_ = last_received_ = last_dialled_ = runtime_.now();
  if (auto socket = open_socket()) sockets_.push_back(std::move(socket));
}

PeerConnections::~PeerConnections() {
  for (const auto& socket : sockets_) socket->close();
}

std::shared_ptr<RequestSocket> PeerConnections::open_socket() {
  return RequestSocket::open(loop_, peer_,
                             [this](const std::shared_ptr<RequestSocket>& socket, wire::Envelope reply) {
                               receive_reply(socket, std::move(reply));
                             });
}

void PeerConnections::on_call_timeout(TimePoint sent_at) {
  if (last_received_ < sent_at) suspect_ = true;
}

bool PeerConnections::needs_additional() const {
  if (suspect_) return true;
  return std::none_of(sockets_.begin(), sockets_.end(),
                      [](const std::shared_ptr<RequestSocket>& socket) { return socket->is_connected(); });
}

// At the limit, the oldest additional connection is replaced: the intervals between its SYNs have grown
// longest. The first connection is kept, because it may still be established, and it is then the fastest to
// recover after a partition.
void PeerConnections::dial_additional() {
  last_dialled_ = runtime_.now();
  auto socket = open_socket();
  if (!socket) return;
  if (sockets_.size() >= kMaxSockets) {
    sockets_[1]->close();
    sockets_.erase(sockets_.begin() + 1);
  }
  sockets_.push_back(std::move(socket));
}

void PeerConnections::send(const std::string& body, std::uint32_t call_id) {
  last_used_ = runtime_.now();
  if (last_used_ - last_dialled_ >= kMinDialInterval && needs_additional()) dial_additional();
  for (const auto& socket : sockets_) socket->send(body, call_id);
}

void PeerConnections::receive_reply(const std::shared_ptr<RequestSocket>& socket, wire::Envelope reply) {
  suspect_ = false;
  last_received_ = runtime_.now();
  for (const auto& other : sockets_)
    if (other != socket) other->close();
  sockets_.assign(1, socket);
  on_reply_(std::move(reply));
}

}  // namespace winchhall::cluster
