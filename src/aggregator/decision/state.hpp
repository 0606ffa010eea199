// What the module keeps of attempts, parts, queries and servers.
#pragma once

#include <deque>
#include <map>
#include <set>
#include <utility>

#include "aggregator/decision/tuning.hpp"

namespace winchhall::detail {

struct Attempt {
  int server = -1;
  Millis sent = 0;
  double cost = 0;         // what it added to its server's sum
  double ahead = 0;        // the sum it was placed at, itself included
  bool out = true;         // no outcome yet
  bool moving = false;     // cancelled by us
  bool started = false;    // its stream belongs to the client
  Millis denied = kNever;  // when the server said that it has not what was asked for
};

struct Part {
  std::string id;
  int query = -1;                     // number of its query
  int shard = 0, step = 1, most = 0;  // most: attempts, by the settings it came under
  double weight = 0, hint = 0;
  std::optional<std::vector<std::string>> holders;  // by name, where stated
  int used = 0, unwritten = 0, resets = 0;  // used: by the parts it came from, less its own unwritten ones
  bool spare = false;                       // not needed as things stand
  bool done = false, dead = false;          // dead: no further attempt is possible
  Millis first_maybe = kEver;               // sending time of the first attempt that may have run
  std::vector<Attempt> attempts;
  bool out() const {
    return std::any_of(attempts.begin(), attempts.end(), [](auto& a) { return a.out; });
  }
  int tries() const { return used + static_cast<int>(attempts.size()); }
};

struct Query {
  std::string id;
  int query_class = 0;
  Millis aim_at = 0, give_up_at = 0;
  int step = 1;
  bool first_whole = true;
  bool shortened = false;              // asked for a part of its parts only
  bool awaiting_step = false;          // answered the first step, second step's parts not in yet
  bool served = false, ended = false;  // served: a part has come back
  std::optional<std::uint64_t> key;    // its subject
  std::set<int> fell;                  // servers whose connections broke under its parts
  bool cautious = false;               // one part at a time, until one has come back
  int outstanding = 0;                 // attempts still owed an outcome
  double slack = kWeightSlack;         // no whole part is lost in it, however little it weighs
  double given[2] = {0, 0};  // shares its parts came with, by step: rounded, they may fall short of 1
  std::vector<std::string> parts;
};

// Whether a server is trusted, judged by what came back from it.
struct Health {
  double strikes = 0;
  bool aside = false;
  bool at_once = false;  // it failed at once, without work; else it was silent or full
  Millis last_answer = kNever, aside_until = kNever, rest = kRest;
};

struct Server {
  std::string id;
  int cell = 0;
  double size = 1;  // what it takes beside others, where an installation states it
  ServerState state = ServerState::ready;
  std::optional<Millis> started{};
  double sum = 0;  // hinted cost of own parts out
  double reported = 0;
  Millis reported_at = kNever;
  std::multiset<Millis> out_since{};                // sending times of own attempts out
  Millis gone_at = kNever;                          // when the list first had it gone
  Millis last_answer = kNever, proved_at = kNever;  // proved: when a part was sent that it took, not draining
  Millis cut_at = kNever;  // a connection broke under an attempt, and what that meant is not known yet
  double pace = 0;         // smoothed observed time over hint; 0: not known
  Millis paced_at = kNever;
  Health health{};               // of the whole server: silence, broken connections, full queues
  std::vector<Health> by_class;  // errors come by class: a server may fail one and serve another well
  Millis turn_at = kNever;       // when lots were last drawn for this cold server
  double turn = 1;               // the lot: under allowance / work it may be sent one part
  std::deque<std::pair<Millis, double>> cold_sent{};  // what this broker sent while it was cold
};

}  // namespace winchhall::detail
