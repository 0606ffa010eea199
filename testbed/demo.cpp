#include <cstdio>

#include "testbed/experiments.hpp"
#include "testbed/fleet.hpp"

namespace winchhall::testbed {

int demo(const CommonOptions& common) {
  FleetOptions options;
  options.seed = common.seed;
  options.program = common.program;
  options.aggregators = 1;
  options.nodes = options.deployment.nodes = 4;
  options.deployment.ranges = 6;
  options.deployment.min_ranges = 1;
  options.accounts = 40;
  options.slack = 20000;
  Fleet fleet(options);
  fleet.start();
  std::printf("4 stand-in nodes, a directory of 6 ranges, and winchhall on HTTP port %d and Flight port %d\n",
              fleet.http_port(0), fleet.flight_port(0));
  ranges::Key third = ranges::kKeyEnd / 3;
  int answered = 0;
  for (bool over_flight : {false, true}) {
    Query query;
    query.id = over_flight ? "demo-flight" : "demo-http";
    query.query_class = "transfer-lookup";
    query.tenant = "giros-unidos";
    query.text = "c41e77d0";
    query.timeout = 5000;
    query.spans = {{third, 2 * third}};
    std::printf("\nasked over %s: accounts %s, text %s\n", over_flight ? "Arrow Flight" : "HTTP",
                ranges::text_of(query.spans[0]).c_str(), query.text.c_str());
    if (!over_flight) std::printf("%s\n", http_request(query).c_str());
    bool done = false;
    fleet.ask(0, over_flight, query, [&](const Reply& reply) {
      done = true;
      if (reply.kind != Reply::Kind::answered) {
        std::printf("query failed: %s\n", reply.error.c_str());
        return;
      }
      ++answered;
      std::printf("answered, %s, %zu rows:\n", reply.whole ? "complete" : "partial", reply.rows.size());
      for (const auto& row : reply.rows)
        std::printf("  %s: %.60s...\n", ranges::text_of(row.span).c_str(), row.data.c_str());
    });
    while (!done) fleet.run_once();
  }
  fleet.check_final_state();
  for (const std::string& text : fleet.checker().violation_examples())
    std::printf("violated: %s\n", text.c_str());
  std::printf("\n%s\n", answered == 2 ? "both queries were answered, and every account is right"
                                      : "a query was not answered");
  return answered == 2 && fleet.checker().violations().empty() ? 0 : 1;
}

}  // namespace winchhall::testbed
