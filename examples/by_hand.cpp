// Uses the decision module alone, without sockets: one Coordinator, two servers, and one query of two parts
// that both get an answer.
#include <iostream>
#include <string>
#include <variant>
#include <vector>

#include "winchhall/coordinator.hpp"

using namespace winchhall;

int main() {
  Settings settings;
  settings.classes.push_back({.name = "search", .latency_target = 500, .deadline = 2000});
  settings.max_attempts = 2;

  Coordinator coordinator(settings, /*seed=*/1, /*now=*/0);
  coordinator.start();  // a real aggregator executes the actions it returns, such as timers
  coordinator.handle(0, ServerList{ServerList::Kind::complete, {{.server = "a"}, {.server = "b"}}});

  bool complete = false;
  auto actions = coordinator.handle(
      1, QueryArrived{
             .query = "q", .give_up_at = 2000, .parts = {{"q/0", 0, 0.5, 40.0}, {"q/1", 0, 0.5, 20.0}}});
  for (const Action& action : actions) {
    const auto* send = std::get_if<SendPart>(&action);
    if (!send) continue;
    std::cout << send->part << " -> " << send->server << '\n';
    for (const Action& then :
         coordinator.handle(30, AttemptEnded{.part = send->part, .server = send->server}))
      if (const auto* answer = std::get_if<AnswerQuery>(&then)) complete = answer->complete;
  }
  std::cout << (complete ? "answered whole\n" : "no whole answer\n");
  return complete ? 0 : 1;
}
