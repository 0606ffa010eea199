// A leaf on frames that answers every part at once, and tells whom it likes what was asked.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "aggregator/event_loop/stream.hpp"
#include "aggregator/http/frames.hpp"

namespace winchhall::testbed {

class PromptLeaf {
 public:
  using Heard = std::function<void(const std::string& part)>;
  explicit PromptLeaf(event_loop::Loop& loop, Heard heard = nullptr)
      : loop_(loop),
        heard_(std::move(heard)),
        listener_(loop, *event_loop::parse_address("127.0.0.1:0"), [this](event_loop::UniqueFd fd) {
          sides_.push_back(std::make_shared<Side>(*this));
          sides_.back()->stream = event_loop::Stream::adopt(loop_, std::move(fd), *sides_.back());
        }) {}
  ~PromptLeaf() {
    for (auto& side : sides_) side->stream->close();
  }
  int port() const { return listener_.port(); }

 private:
  struct Side : event_loop::Stream::Owner {
    explicit Side(PromptLeaf& of) : leaf(of) {}
    void received(std::string& in) override {
      bool bad = false;
      std::string out;
      while (auto frame = http::take_frame(in, bad)) {
        if (frame->type != 'D') continue;
        std::string part = frame->payload.substr(0, frame->payload.find(' '));
        if (leaf.heard_) leaf.heard_(part);
        out += http::make_frame('O', part + " 200 1 busy_reqs=1\n5be2a07c19f04d63");
      }
      stream->write(out);
    }
    void ended() override { stream->close(); }
    PromptLeaf& leaf;
    std::shared_ptr<event_loop::Stream> stream;
  };
  event_loop::Loop& loop_;
  Heard heard_;
  event_loop::Listener listener_;
  std::vector<std::shared_ptr<Side>> sides_;
};

}  // namespace winchhall::testbed
