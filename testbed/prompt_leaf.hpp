// A leaf for the frame protocol that answers every part at once.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "aggregator/event_loop/stream.hpp"
#include "aggregator/http/frames.hpp"

namespace winchhall::testbed {

// Owns its listener and connections. The observer is called with the id of each part.
class PromptLeaf {
 public:
  using PartObserver = std::function<void(const std::string& part)>;
  explicit PromptLeaf(event_loop::Loop& loop, PartObserver on_part = nullptr)
      : loop_(loop),
        on_part_(std::move(on_part)),
        listener_(loop, *event_loop::parse_address("127.0.0.1:0"), [this](event_loop::UniqueFd fd) {
          connections_.push_back(std::make_shared<Connection>(*this));
          connections_.back()->stream = event_loop::Stream::adopt(loop_, std::move(fd), *connections_.back());
        }) {}
  ~PromptLeaf() {
    for (auto& connection : connections_) connection->stream->close();
  }
  int port() const { return listener_.port(); }

 private:
  struct Connection : event_loop::Stream::Owner {
    explicit Connection(PromptLeaf& owner) : leaf(owner) {}
    void received(std::string& in) override {
      bool bad = false;
      std::string out;
      while (auto frame = http::take_frame(in, bad)) {
        if (frame->type != 'D') continue;
        std::string part = frame->payload.substr(0, frame->payload.find(' '));
        if (leaf.on_part_) leaf.on_part_(part);
        out += http::make_frame('O', part + " 200 1 busy_reqs=1\n5be2a07c19f04d63");
      }
      stream->write(out);
    }
    void ended() override { stream->close(); }
    PromptLeaf& leaf;
    std::shared_ptr<event_loop::Stream> stream;
  };
  event_loop::Loop& loop_;
  PartObserver on_part_;
  event_loop::Listener listener_;
  std::vector<std::shared_ptr<Connection>> connections_;
};

}  // namespace winchhall::testbed
