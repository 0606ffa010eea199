// Public interface of the aggregator's decision module: settings and events are the input, actions the
// output. All of them are plain value types.
//
// Time: every `Millis` is in milliseconds. Points in time are on the caller's clock, whose origin is
// arbitrary but the same for all events.
// Determinism: a Coordinator has no clock, I/O, threads or global state. The caller supplies the time and the
// random seed and executes the returned actions in order; equal inputs give equal actions.
// Threads: an instance must not be used by two threads at once. Instances share no state.
// Ownership: ids are chosen by the caller and copied.
// Errors: an event that names an unknown id is ignored; no exception reports it.
#pragma once

#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace winchhall {

using Millis = double;

// Whether a part may be executed more than once: always (safe), within `idempotency_window`, where servers
// deduplicate by key (keyed), or never (unsafe).
enum class Idempotency { safe, keyed, unsafe };

// Rules of one query class. Times are durations in ms, shares are fractions in [0, 1].
struct ClassSettings {
  std::string name{};
  Idempotency idempotency = Idempotency::safe;
  Millis latency_target = 1000;  // an answer within this time of arrival earns the full value
  Millis deadline = 1000;        // the client's total time-out, over all its attempts
  double late_value = 0;         // share of the value earned between latency_target and deadline
  double value = 1;              // of a complete answer; the relative priority of the class
  // keyed: how long servers deduplicate, counted from the first attempt that may have been executed.
  Millis idempotency_window = 0;
  double complete_share = 1;  // share of the weight that makes an answer complete
  double min_share = 1;       // minimum share of the weight for any answer
  double partial_value = 0;   // a partial answer earns this value x share / complete_share
  int second_step_parts = 0;  // above 0: a second step of this many parts follows the first
  bool operator==(const ClassSettings&) const = default;
};

// A tenant and its quota.
struct TenantSettings {
  std::string name{};
  double quota_per_s = 0;  // queries per second over all instances; 0: no quota
  bool operator==(const TenantSettings&) const = default;
};

// Meaning of one value in a server's load report; service_ms is in ms, the others are counts.
enum class ReportField { queued, in_flight, service_ms, other };

// Settings of one Coordinator. Times are durations in ms.
struct Settings {
  std::vector<ClassSettings> classes{};
  std::vector<TenantSettings> tenants{};
  double over_quota_value = 1;  // value factor of a query above its tenant's quota
  int instances = 1;            // aggregator instances that send to the same servers
  int cells = 1;                // shard s is replicated in cells (s + j) mod cells, 0 <= j < cells_per_shard
  int cells_per_shard = 1;
  Millis tick = 1;               // maximum delay with which events are delivered
  bool list_on_request = false;  // the endpoint list must be requested
  bool list_watched = false;     // the list is pushed, but a watch must be kept open as well
  Millis max_poll_interval = 0;  // maximum interval between requests while no watch is open
  bool may_cancel = false;
  bool may_probe = false;
  bool may_hedge = false;  // hedged requests are allowed, for parts of classes that are `safe`
  bool honors_retry_after = false;
  Millis max_retry_after = 0;
  bool weights_count = false;        // ServerEntry::size is the server's relative capacity
  int max_attempts = 1;              // per part
  int max_open = 0;                  // maximum of open queries plus parts; 0: unlimited
  Millis answer_grace = 0;           // a final answer is still accepted this long after give_up_at
  Millis drain_grace = 0;            // sends to a draining server must have stopped after this
  double warm_up_initial_share = 1;  // slow start: share of the capacity at the start, at least
  Millis warm_up_time = 0;           // slow start: duration, counted from the server's start
  double overload_multiple = 0;      // overload of a warming server: load above this multiple ...
  Millis overload_time = 0;          // ... of its capacity for this long crashes it; multiple 0: never
  bool budget = false;               // retries are limited by a retry budget:
  double budget_free = 0;            // at most this many ...
  double budget_share = 0;           // ... plus this share of accepted queries and parts ...
  Millis budget_window = 0;          // ... in any time window of this length
  bool reports = false;              // servers send load reports
  std::vector<ReportField> report_fields{};  // meaning of the values of a report, in order
  bool operator==(const Settings&) const = default;
};

// ---- Events

// Lifecycle state of a server. ready: accepts parts; draining: gets no new ones; removed: no longer a member.
enum class ServerState { ready, draining, removed };

// One entry of the endpoint list.
struct ServerEntry {
  std::string server{};
  int cell = 0;
  double size = 1;  // relative capacity, where known
  ServerState state = ServerState::ready;
  std::optional<Millis> started{};  // start time; absent: longer ago than warm_up_time
};

// How a request for the endpoint list, or a watch on it, ended without a list.
enum class CallEnd {
  failed,        // the service was reached and rejected, broke off or stopped answering
  unresponsive,  // no connection could be established, for an unknown reason
  refused,       // connection refused: no service was available to any client then
  ended,         // the watch was closed in order: every change until then was delivered
};

// An endpoint list from discovery. `cached`: restored at the start, possibly stale. `complete`: servers that
// are not listed have left. `changes`: only the listed servers changed. `failed`: a request failed or the
// watch broke, as `end` tells.
struct ServerList {
  enum class Kind { cached, complete, changes, failed } kind = Kind::complete;
  std::vector<ServerEntry> servers{};
  CallEnd end = CallEnd::failed;  // of kind `failed` only
};

// The watch delivered data, possibly just a keepalive line. Until the first such event a silent watch doesn't
// count as broken.
struct ListKeepalive {};

// The discovery service has a new address; open requests and the watch at the old one are lost.
struct ListServiceMoved {};

// One part of a query: the work on one shard, sent to one replica at a time.
struct PartSpec {
  std::string part{};
  int shard = 0;
  double weight = 0;             // share of its step's result; the weights of a step sum to 1
  std::optional<double> hint{};  // estimated cost, ms of work
  // Names of the replicas that may be asked; absent: computed from `shard` by the rule of Settings::cells.
  std::optional<std::vector<std::string>> holders{};
};

// A new query with all parts of its first step. It gets exactly one final action (AnswerQuery, RefuseQuery or
// FailQuery) before `give_up_at`, unless it is withdrawn.
struct QueryArrived {
  std::string query{};
  int query_class = 0;  // index into Settings::classes
  int tenant = -1;      // index into Settings::tenants, or -1
  Millis give_up_at = 0;
  bool is_retry = false;               // marked as a retry by its client
  std::optional<std::uint64_t> key{};  // idempotency key, where known; equal for a client's retries
  std::vector<PartSpec> parts{};
};

// The parts of a query's second step; sent after the first AnswerQuery.
struct PartsAdded {
  std::string query{};
  std::vector<PartSpec> parts{};
};

// How an attempt or probe ended. full: rejected for lack of capacity. unsent: never written to the server.
// not_mine: the server doesn't own the requested range; the part wasn't executed and the server is healthy.
enum class Outcome { ok, error, full, timeout, connect_failed, reset, cancelled, unsent, not_mine };

// The end of an attempt; exactly one event for each SendPart. Attempts of a part are numbered from 0 in the
// order of their SendPart actions.
struct AttemptEnded {
  std::string part{};
  int attempt = 0;
  std::string server{};
  Outcome outcome = Outcome::ok;
  Millis elapsed = 0;            // ms since it was sent
  bool part_closed = false;      // the part accepts no further attempt
  std::vector<double> report{};  // load report, ordered as Settings::report_fields; empty: none
  bool written = true;           // false: nothing was written; doesn't count as an attempt
};

// The replicas of a part have changed. With no holders the part waits for the next such event. An attempt in
// flight continues.
struct HoldersChanged {
  std::string part{};
  std::vector<std::string> holders{};
};

// Parts of one query are replaced by others that cover the same work, after a range was split or merged. Each
// successor states its holders. None of `parts` may have an attempt in flight, else the event is ignored.
// Every successor inherits the highest attempt count among the replaced parts.
struct PartsReplaced {
  std::vector<std::string> parts{};
  std::vector<PartSpec> successors{};
};

// A streamed response has begun to reach the client: the part can't be retried elsewhere any more.
struct AttemptStarted {
  std::string part{};
  int attempt = 0;
};

// The end of a health check; exactly one event for each SendProbe.
struct ProbeEnded {
  std::string server{};
  Outcome outcome = Outcome::ok;
  Millis elapsed = 0;
  std::vector<double> report{};
};

// A message from another aggregator instance.
struct PeerMessage {
  int from = 0;
  std::string bytes{};
};

// A timer set by SetTimer expired; `tag` is the one given there.
struct TimerFired {
  std::int64_t tag = 0;
};

// The client disconnected: the query and its parts are closed and get no final action.
struct QueryWithdrawn {
  std::string query{};
};

// New settings take effect. Open queries keep their class index and their attempt limit.
struct SettingsChanged {
  Settings settings{};
  std::vector<int> from{};  // by new class index: the old index whose statistics apply, or -1
};

using Event = std::variant<ServerList, SettingsChanged, ListKeepalive, ListServiceMoved, QueryArrived,
                           PartsAdded, AttemptEnded, HoldersChanged, PartsReplaced, AttemptStarted,
                           ProbeEnded, PeerMessage, TimerFired, QueryWithdrawn>;

// ---- Actions

// Sends the next attempt of a part to a server.
struct SendPart {
  std::string part{};
  std::string server{};
  Millis timeout = 0;  // duration from now, above 0
  // If the request isn't written by this time, it must be dropped and end as Outcome::unsent.
  Millis send_by = std::numeric_limits<Millis>::infinity();
};
// Cancels an attempt in flight; its AttemptEnded still follows.
struct CancelAttempt {
  std::string part{};
  int attempt = 0;
};
// Answers the query with the results received so far. Final, except after the first of two steps.
struct AnswerQuery {
  std::string query{};
  bool complete = false;  // at least ClassSettings::complete_share of the weight is present
};
// Rejects the query. Final. No part was executed in a way that makes a client's retry unsafe.
struct RefuseQuery {
  std::string query{};
  Millis retry_after = 0;  // advice to the client; 0: none
};
// Fails the query. Final. Whether parts were executed is unknown.
struct FailQuery {
  std::string query{};
};
// Starts a health check.
struct SendProbe {
  std::string server{};
};
// Opens (or closes) the watch on the endpoint list. It is answered by one ServerList, then by changes.
struct WatchList {
  bool on = true;
};
// Requests the complete endpoint list once.
struct FetchList {};
// Closes the idle connections to a server.
struct CloseIdle {
  std::string server{};
};
// Sends a message to other aggregator instances.
struct SendToPeers {
  int to = -1;  // index of the instance; -1: all
  std::string bytes{};
};
// Requests a TimerFired event at time `at`.
struct SetTimer {
  Millis at = 0;
  std::int64_t tag = 0;
};
// Writes a line to the log.
struct LogLine {
  std::string text{};
};

using Action = std::variant<SendPart, CancelAttempt, AnswerQuery, RefuseQuery, FailQuery, SendProbe,
                            WatchList, FetchList, CloseIdle, SendToPeers, SetTimer, LogLine>;

// The decision module of one aggregator instance: places parts on replicas, retries and hedges them, sheds
// load, and decides when to ask for the endpoint list. See the contract at the top of this file.
class Coordinator {
 public:
  // `now` is the start of this process, on the caller's clock.
  Coordinator(Settings settings, std::uint64_t seed, Millis now);
  ~Coordinator();
  Coordinator(Coordinator&&) noexcept;
  Coordinator& operator=(Coordinator&&) noexcept;

  // Returns the initial actions (timer, watch). Must be called once, before the first event.
  std::vector<Action> start();
  // Processes one event and returns the actions it causes. Time never moves back: a `now` before an earlier
  // one, or one that isn't finite, is replaced by the latest valid one.
  std::vector<Action> handle(Millis now, const Event& event);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace winchhall
