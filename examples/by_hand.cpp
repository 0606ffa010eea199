// Drives one Coordinator by hand: two servers, one query of two parts, both answered.
#include <iostream>
#include <string>
#include <variant>
#include <vector>

#include "winchhall/coordinator.hpp"

using namespace winchhall;

int main() {
  Settings settings;
  settings.classes.push_back({.name = "search", .aim = 500, .deadline = 2000});
  settings.max_attempts = 2;

  Coordinator coordinator(settings, /*seed=*/1, /*now=*/0);
  coordinator.start();  // a real broker would carry out the timers it returns
  coordinator.handle(0, ServerList{ServerList::Kind::complete, {{.server = "a"}, {.server = "b"}}});

  bool whole = false;
  auto actions = coordinator.handle(
      1, QueryArrived{
             .query = "q", .give_up_at = 2000, .parts = {{"q/0", 0, 0.5, 40.0}, {"q/1", 0, 0.5, 20.0}}});
  for (const Action& action : actions) {
    const auto* send = std::get_if<SendPart>(&action);
    if (!send) continue;
    std::cout << send->part << " -> " << send->server << '\n';
    for (const Action& then :
         coordinator.handle(30, AttemptEnded{.part = send->part, .server = send->server}))
      if (const auto* answer = std::get_if<AnswerQuery>(&then)) whole = answer->whole;
  }
  std::cout << (whole ? "answered whole\n" : "no whole answer\n");
  return whole ? 0 : 1;
}
