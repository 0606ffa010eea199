// An example of a leaf server: toy_leaf PORT. It answers each part after 20 ms with a text that names its
// shard.
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

// A connection from an aggregator. Owned by `all` and by its answers that are still to be sent.
struct Connection : event_loop::Stream::Owner, std::enable_shared_from_this<Connection> {
  Connection(event_loop::Loop& l, std::set<std::shared_ptr<Connection>>& a) : loop(l), all(a) {}
  void received(std::string& in) override {
    bool bad = false;
    while (auto frame = http::take_frame(in, bad)) {
      if (frame->type == 'U') stream->write(http::make_frame('U', "inflight=" + std::to_string(in_flight)));
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
        ++in_flight;
        loop.run_at(loop.now() + 20, [self = shared_from_this(), name = std::string(id), shard] {
          --self->in_flight;
          self->stream->write(http::make_frame('O', name +
                                                        " 200 0 inflight=" + std::to_string(self->in_flight) +
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
  std::set<std::shared_ptr<Connection>>& all;
  std::shared_ptr<event_loop::Stream> stream;
  int in_flight = 0;  // parts that are not answered yet
};

}  // namespace

int main(int argc, char** argv) {
  auto address = event_loop::parse_address("127.0.0.1:" + std::string(argc > 1 ? argv[1] : ""));
  if (!address) return std::fprintf(stderr, "usage: toy_leaf PORT\n"), EXIT_FAILURE;
  event_loop::Loop loop;
  std::set<std::shared_ptr<Connection>> connections;
  event_loop::Listener listener(loop, *address, [&](event_loop::UniqueFd fd) {
    auto connection = std::make_shared<Connection>(loop, connections);
    connections.insert(connection);
    connection->stream = event_loop::Stream::adopt(loop, std::move(fd), *connection);
  });
  std::printf("toy leaf on port %d\n", listener.port());
  std::fflush(stdout);
  for (;;) loop.run_once(1000);
}
