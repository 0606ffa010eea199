#include <cstdio>

#include "testbed/experiments.hpp"
#include "testbed/fleet.hpp"

namespace winchhall::testbed {

int demo(const Common& common) {
  FleetOptions options;
  options.seed = common.seed;
  options.program = common.program;
  options.aggregators = 1;
  options.nodes = options.world.nodes = 4;
  options.world.ranges = 6;
  options.world.ranges_least = 1;
  options.accounts = 40;
  options.slack = 20000;
  Fleet fleet(options);
  fleet.begin();
  std::printf("4 stand-in nodes, a directory of 6 ranges, and winchhall on HTTP port %d and Flight port %d\n",
              fleet.http_port(0), fleet.flight_port(0));
  ranges::Key third = ranges::kKeyEnd / 3;
  int answered = 0;
  for (bool over_flight : {false, true}) {
    Asked asked;
    asked.id = over_flight ? "demo-flight" : "demo-http";
    asked.query_class = "transfer-lookup";
    asked.tenant = "giros-unidos";
    asked.text = "c41e77d0";
    asked.timeout = 5000;
    asked.spans = {{third, 2 * third}};
    std::printf("\nasked over %s: accounts %s, text %s\n", over_flight ? "Arrow Flight" : "HTTP",
                ranges::text_of(asked.spans[0]).c_str(), asked.text.c_str());
    if (!over_flight) std::printf("%s\n", http_request(asked).c_str());
    bool done = false;
    fleet.ask(0, over_flight, asked, [&](const Reply& reply) {
      done = true;
      if (reply.kind != Reply::Kind::answered) {
        std::printf("no answer: %s\n", reply.error.c_str());
        return;
      }
      ++answered;
      std::printf("answered, %s, %zu rows:\n", reply.whole ? "whole" : "in part", reply.rows.size());
      for (const auto& row : reply.rows)
        std::printf("  %s: %.60s...\n", ranges::text_of(row.span).c_str(), row.data.c_str());
    });
    while (!done) fleet.turn();
  }
  fleet.look_over();
  for (const std::string& text : fleet.checker().cases()) std::printf("broken: %s\n", text.c_str());
  std::printf("\n%s\n",
              answered == 2 ? "both were answered, and every account is right" : "not all was answered");
  return answered == 2 && fleet.checker().broken().empty() ? 0 : 1;
}

}  // namespace winchhall::testbed
