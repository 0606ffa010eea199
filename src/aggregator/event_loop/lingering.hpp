// Streams that linger after their owner has ended them: they hold a descriptor until their peer's end.
#pragma once

#include <algorithm>
#include <deque>
#include <memory>
#include <utility>

#include "aggregator/event_loop/stream.hpp"

namespace winchhall::net {

class Lingering {
 public:
  explicit Lingering(Loop& loop) : loop_(loop) {}
  ~Lingering() {
    for (auto& [since, stream] : streams_) stream->close();
  }
  Lingering(const Lingering&) = delete;
  Lingering& operator=(const Lingering&) = delete;

  void add(std::shared_ptr<Stream> stream) {
    if (stream && stream->open()) streams_.emplace_back(loop_.now(), std::move(stream));
  }
  std::size_t size() {
    std::erase_if(streams_, [](const auto& s) { return !s.second->open(); });
    return streams_.size();
  }
  // Makes room where descriptors are short: the one that has lingered longest, though not before all was
  // written to it and its peer's end had time to come.
  bool close_oldest() {
    Millis before = loop_.now() - kLeast;
    auto it = std::find_if(streams_.begin(), streams_.end(), [&](const auto& s) {
      return s.second->open() && s.second->unsent() == 0 && s.first <= before;
    });
    if (it == streams_.end()) return false;
    it->second->close();
    streams_.erase(it);
    return true;
  }

 private:
  static constexpr Millis kLeast = 50;  // ms: a peer that reads has long answered our end by then

  Loop& loop_;
  std::deque<std::pair<Millis, std::shared_ptr<Stream>>> streams_;  // since when
};

}  // namespace winchhall::net
