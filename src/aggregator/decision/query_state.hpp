// State of attempts, parts, queries and servers. Times are in ms on the caller's clock, costs in ms of work.
#pragma once

#include <map>
#include <set>
#include <utility>

#include "aggregator/decision/tuning.hpp"
#include "aggregator/decision/warm_up_window.hpp"

namespace winchhall::detail {

// One request for a part to one server.
struct Attempt {
  int server = -1;  // index into ServerPool::servers_
  Millis sent = 0;
  double cost = 0;                        // its share of the server's outstanding cost
  double cost_ahead = 0;                  // the server's expected load when it was placed, this part included
  bool in_flight = true;                  // its AttemptEnded is outstanding
  bool cancel_requested = false;          // CancelAttempt was sent
  bool started = false;                   // its response is being streamed to the client
  Millis denied_at = kNever;              // when the server rejected it as not the owner
  WarmUpWindow::SendId warm_up_send = 0;  // in Server::warm_up_window; 0: the server was warm
};

// One part of a query with all its attempts.
struct Part {
  std::string id;
  int query = -1;  // key in QueryTable::queries_
  int shard = 0, step = 1;
  int max_attempts = 0;  // from the settings in force on its arrival; 0: not yet set
  double weight = 0, hint = 0;
  std::optional<std::vector<std::string>> holders;  // names of its replicas; absent: derived from shard
  int inherited_attempts = 0;       // attempts of the parts that it replaced, minus its own unwritten ones
  int unwritten_attempts = 0;       // attempts that were never written to a server
  int connection_resets = 0;        // attempts that ended by a broken connection
  bool is_spare = false;            // held in reserve: the query can complete without it
  bool done = false, dead = false;  // dead: no further attempt is allowed
  Millis first_possible_run = kInfinity;  // when the first attempt that may have been executed was sent
  std::vector<Attempt> attempts;
  bool has_attempt_in_flight() const {
    return std::any_of(attempts.begin(), attempts.end(), [](auto& a) { return a.in_flight; });
  }
  int attempt_count() const { return inherited_attempts + static_cast<int>(attempts.size()); }
};

// One query.
struct Query {
  std::string id;
  int query_class = 0;
  Millis target_at = 0, give_up_at = 0;
  int step = 1;
  bool first_step_complete = true;
  bool reduced = false;                // overload: low-value parts were left out
  bool awaiting_step = false;          // first step answered, PartsAdded outstanding
  bool served = false, ended = false;  // served: at least one part succeeded
  std::optional<std::uint64_t> key;    // idempotency key
  std::set<int> crashed_servers;       // servers that presumably crashed while they executed its parts
  bool serial = false;                 // one part in flight at a time, until one succeeds
  int outstanding = 0;                 // attempts in flight
  double slack = kWeightSlack;         // rounding tolerance of weight sums, below the smallest part's weight
  double weight_sum[2] = {0, 0};       // of its parts, by step; below 1 by rounding at most
  std::vector<std::string> parts;
};

// Outlier detection for one server, over all classes or for one, from the outcomes of its attempts.
struct ServerHealth {
  double failure_score = 0;  // sum of weighted failures, reduced by each success
  bool is_ejected = false;
  bool failed_immediately = false;  // errors or broken connections, as opposed to time-outs and rejections
  Millis last_answer = kNever, ejected_until = kNever, ejection_time = kBaseEjectionTime;
};

// One server of the endpoint list.
struct Server {
  std::string id;
  int cell = 0;
  double size = 1;  // relative capacity, where Settings::weights_count
  ServerState state = ServerState::ready;
  std::optional<Millis> started{};  // start of its process; absent: long ago
  double outstanding_cost = 0;      // estimated cost of own attempts in flight
  double reported = 0;              // last reported load, in queue items
  Millis reported_at = kNever;
  std::multiset<Millis> in_flight_since{};  // when each own attempt in flight was sent
  Millis removed_at = kNever;               // when the endpoint list first lacked it
  Millis last_answer = kNever;
  Millis proved_ready_at = kNever;  // latest sending time of a part it served: it was not draining then
  // When a connection broke during an attempt, while it is unknown whether the server crashed; else kNever.
  Millis connection_broken_at = kNever;
  double response_ratio = 0;  // response time over estimated cost, smoothed; 0: unknown
  Millis response_ratio_at = kNever;
  ServerHealth health{};               // over all classes: time-outs, broken connections, full queues
  std::vector<ServerHealth> by_class;  // per class: a server may fail one class only
  Millis admission_drawn_at = kNever;  // slow start: when `admission_draw` was drawn
  double admission_draw = 1;           // slow start: random number; a low one admits one part
  WarmUpWindow warm_up_window{};       // slow start: sent by this instance
};

}  // namespace winchhall::detail
