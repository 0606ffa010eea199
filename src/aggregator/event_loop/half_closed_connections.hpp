// Connections in a lingering close (Stream::linger), which occupy a descriptor until the peer closes its
// side.
#pragma once

#include <algorithm>
#include <deque>
#include <memory>
#include <utility>

#include "aggregator/event_loop/stream.hpp"

namespace winchhall::event_loop {

// Keeps track of the lingering streams of one client or server, so that they count as open descriptors and
// can be closed early. Closes them on destruction.
class HalfClosedConnections {
 public:
  explicit HalfClosedConnections(Loop& loop) : loop_(loop) {}
  ~HalfClosedConnections() {
    for (auto& [added_at, stream] : streams_) stream->close();
  }
  HalfClosedConnections(const HalfClosedConnections&) = delete;
  HalfClosedConnections& operator=(const HalfClosedConnections&) = delete;

  void add(std::shared_ptr<Stream> stream) {
    if (stream && stream->open()) streams_.emplace_back(loop_.now(), std::move(stream));
  }
  // Streams still open; drops the others.
  std::size_t size() {
    std::erase_if(streams_, [](const auto& s) { return !s.second->open(); });
    return streams_.size();
  }
  // Closes the stream that has lingered longest, to free a descriptor. Only streams without unsent data that
  // have lingered for kMinLinger are eligible; false if there is none.
  bool close_oldest() {
    Millis before = loop_.now() - kMinLinger;
    auto it = std::find_if(streams_.begin(), streams_.end(), [&](const auto& s) {
      return s.second->open() && s.second->unsent() == 0 && s.first <= before;
    });
    if (it == streams_.end()) return false;
    it->second->close();
    streams_.erase(it);
    return true;
  }

 private:
  static constexpr Millis kMinLinger = 50;  // ms: a peer that reads has closed its side well before

  Loop& loop_;
  std::deque<std::pair<Millis, std::shared_ptr<Stream>>> streams_;  // with the time of add(), oldest first
};

}  // namespace winchhall::event_loop
