// A toy leaf on frames: toy_leaf PORT. It answers each part with its shard's number, 20 ms later.
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <set>
#include <string>

#include "aggregator/event_loop/event_loop.hpp"
#include "aggregator/event_loop/stream.hpp"
#include "aggregator/http/frames.hpp"

using namespace winchhall;

namespace {

struct Side : event_loop::Stream::Owner, std::enable_shared_from_this<Side> {
  Side(event_loop::Loop& l, std::set<std::shared_ptr<Side>>& a) : loop(l), all(a) {}
  void received(std::string& in) override {
    bool bad = false;
    while (auto frame = http::take_frame(in, bad)) {
      if (frame->type == 'U') stream->write(http::make_frame('U', "inflight=" + std::to_string(held)));
      if (frame->type == 'I') stream->write(http::make_frame('I', "200"));
      if (frame->type != 'D') continue;
      for (std::string rest = frame->payload; !rest.empty();) {
        std::size_t line = rest.find('\n');
        char id[200];
        int shard = 0;
        unsigned long size = 0;
        if (line == std::string::npos ||
            std::sscanf(rest.substr(0, line).c_str(), "%199s %d %*s %lu", id, &shard, &size) != 3)
          return stream->close();
        rest.erase(0, line + 1 + size);
        ++held;
        loop.run_at(loop.now() + 20, [self = shared_from_this(), name = std::string(id), shard] {
          --self->held;
          self->stream->write(http::make_frame('O', name + " 200 0 inflight=" + std::to_string(self->held) +
                                                        "\n" + "value of shard " + std::to_string(shard)));
        });
      }
    }
    if (bad) ended();
  }
  void ended() override {
    stream->close();
    auto self = shared_from_this();
    all.erase(self);
    loop.destroy_later(std::move(self));
  }
  event_loop::Loop& loop;
  std::set<std::shared_ptr<Side>>& all;
  std::shared_ptr<event_loop::Stream> stream;
  int held = 0;
};

}  // namespace

int main(int argc, char** argv) {
  auto address = event_loop::parse_address("127.0.0.1:" + std::string(argc > 1 ? argv[1] : ""));
  if (!address) return std::fprintf(stderr, "usage: toy_leaf PORT\n"), EXIT_FAILURE;
  event_loop::Loop loop;
  std::set<std::shared_ptr<Side>> sides;
  event_loop::Listener listener(loop, *address, [&](event_loop::UniqueFd fd) {
    auto side = std::make_shared<Side>(loop, sides);
    sides.insert(side);
    side->stream = event_loop::Stream::adopt(loop, std::move(fd), *side);
  });
  std::printf("toy leaf on port %d\n", listener.port());
  std::fflush(stdout);
  for (;;) loop.run_once(1000);
}
