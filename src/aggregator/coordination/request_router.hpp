// Connects the client side, the server side and the decision module (Coordinator). Front ends submit queries
// and get results; the Transport sends attempts to servers and reports their ends; a MembershipSource
// delivers the endpoint list. Independent of protocols: no descriptors, and endpoints are opaque strings.
//
// Threads: everything here runs on the event loop's thread. Times are in ms of the clock given to the router.
#pragma once

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "aggregator/coordination/class_registry.hpp"
#include "aggregator/ranges/replan.hpp"
#include "winchhall/coordinator.hpp"

namespace winchhall::coordination {

using winchhall::Millis;
using winchhall::Outcome;

// ---- Client side

// One part of a query as the client stated it.
struct QueryPart {
  int shard = 0;
  double weight = 0;             // share of the result; the weights of a query sum to 1
  std::optional<Millis> hint{};  // estimated cost, ms of work
};

// A query as a front end submits it, already validated (query_validation.hpp).
struct QuerySpec {
  std::string id{};                    // chosen by the client
  int query_class = 0;                 // index into Settings::classes
  int tenant = -1;                     // index into Settings::tenants, or -1
  Millis give_up_at = 0;               // latest time of the final answer
  bool is_retry = false;               // marked as a retry by the client
  std::optional<std::uint64_t> key{};  // idempotency key, where known
  std::string text{};                  // payload, sent unchanged with every part
  std::vector<QueryPart> parts{};
  // Instead of parts: account ranges. They are divided into parts by the range map, and again when ranges
  // change while the query is open.
  std::vector<ranges::Span> spans{};
  std::optional<Millis> hint{};  // with spans: estimated cost of the whole query, ms of work
};

// The result of one part.
struct PartialResult {
  int shard = 0;
  std::vector<std::string> values{};  // as returned by the server
  ranges::Span span{};                // empty for a part of a shard
  ranges::Revision revision{};        // revision of the range map used for the request
};

// The final result of a query. refused: rejected, a retry is safe; failed: executions unknown; invalid: can't
// be answered by any retry.
struct QueryResult {
  enum class Kind { answered, refused, failed, invalid } kind = Kind::failed;
  bool complete = false;
  double share = 0;        // weight of the parts received
  Millis retry_after = 0;  // refused: advice in ms; 0: none
  std::vector<PartialResult> rows{};
  std::string why{};  // reason, where the router and not the coordinator decided
};

using QueryNumber = std::uint64_t;
using CompletionCallback = std::function<void(QueryResult)>;  // called once; never after withdraw()

// ---- Server side

using AttemptNumber = std::uint64_t;

// A server's load report; absent values were not reported.
struct Load {
  std::optional<double> queued{}, in_flight{}, service_ms{};
};

// One attempt to be sent to a server.
struct AttemptRequest {
  AttemptNumber attempt = 0;
  std::string server{}, endpoint{};
  std::string part{};  // query id, dot, shard (or r and the index, for a range)
  int shard = 0;
  Millis until = 0;  // time-out: the router abandons the attempt then
  // Latest time to write it; later it could be a retry outside its idempotency window, or reach a server that
  // is draining. A later one must end as Outcome::unsent.
  Millis send_by = std::numeric_limits<Millis>::infinity();
  std::shared_ptr<const std::string> text{};
  // If `span` isn't empty: the requested accounts, with their range and the revision of the range map.
  ranges::Span span{};
  ranges::RangeId range = 0;
  ranges::Revision revision{};
};

// The end of an attempt.
struct AttemptResult {
  Outcome outcome = Outcome::ok;
  std::vector<std::string> values{};
  Load load{};
  std::shared_ptr<const ranges::Denial> denial{};  // Outcome::not_mine
  bool written = true;                             // false: the request was not completely written
};

// Detects a connection that is open but no longer answers, while its server would answer on a new one.
// Without it all parts sent there would be lost, including trial parts for ejected servers. The transport
// reports its traffic and opens a new connection once is_unresponsive() returns true. Times are in ms; one
// instance per connection.
class UnresponsivenessDetector {
 public:
  void on_activity(Millis now) {
    last_activity_at_ = now;
    lost_attempts_ = 0;
  }
  // An attempt written at `written` was abandoned without an answer.
  void on_attempt_abandoned(Millis written, Millis now) {
    if (written <= last_activity_at_ || written == last_lost_at_) return;
    last_lost_at_ = written;
    lost_attempts_ = now - written > kLongSilence ? kMaxLostAttempts : lost_attempts_ + 1;
  }
  bool is_unresponsive() const { return lost_attempts_ >= kMaxLostAttempts; }

 private:
  // ms without an answer after which one lost attempt is enough: a healthy server with a short queue needs
  // less.
  static constexpr Millis kLongSilence = 50;
  // Consecutive lost attempts; a single one may be due to a client that disconnected.
  static constexpr int kMaxLostAttempts = 2;
  Millis last_activity_at_ = 0, last_lost_at_ = 0;
  int lost_attempts_ = 0;
};

// Sends attempts to servers. Owned by the caller; must outlive the router's use of it. Called on the event
// loop.
class Transport {
 public:
  // Starts an attempt. Its end is reported once by RequestRouter::attempt_ended(), never during this call.
  virtual void launch(const AttemptRequest& request) = 0;
  // No more launches in this round of events: buffered requests may be written.
  virtual void flush() = 0;
  // Gives up an attempt; its end is no longer reported.
  virtual void abandon(AttemptNumber attempt) = 0;
  // Drops an attempt if nothing of it was written, without a report; false if something was.
  virtual bool recall(AttemptNumber attempt) = 0;
  // Starts a health check; its end is reported once by RequestRouter::probe_ended().
  virtual void probe(const std::string& server, const std::string& endpoint) = 0;
  // Closes the connections to a server on which no attempt is in flight.
  virtual void close_idle(const std::string& server) = 0;
  // The process behind existing connections has ended: nothing new may be sent on them.
  virtual void retire(const std::string& server) = 0;

 protected:
  ~Transport() = default;
};

// One server of the endpoint list, with the endpoint that the transport connects to.
struct Member {
  winchhall::ServerEntry entry{};
  std::string endpoint{};
};

// Source of the endpoint list; delivers by RequestRouter::update_endpoints(). Owned by the caller; runs on
// the event loop.
class MembershipSource {
 public:
  virtual void watch(bool on) = 0;  // opens the watch (answered by at least one list) or closes it
  virtual void fetch() = 0;         // requests the complete list once

 protected:
  ~MembershipSource() = default;
};

// Source of the range map; delivers each new one by RequestRouter::update_ranges().
class RangeSource {
 public:
  virtual void refresh() = 0;  // a server reported a newer revision: request the map now

 protected:
  ~RangeSource() = default;
};

// ---- Counters

// Counters of one query class since the start. Values are sums of ClassSettings::value.
struct QueryCounters {
  std::uint64_t received = 0, complete = 0, partial = 0, refused = 0, failed = 0, withdrawn = 0, attempts = 0;
  double value_requested = 0, value_earned = 0;
  bool operator==(const QueryCounters&) const = default;
};

// Routes queries to servers as the Coordinator decides, and executes its actions. Public functions only queue
// events; run() processes them. Invariants: each submitted query gets one result unless it is withdrawn; a
// query is kept until its attempts have ended. Not thread-safe.
class RequestRouter {
 public:
  RequestRouter(winchhall::Settings settings, std::uint64_t seed, std::function<Millis()> clock,
                std::function<void(const std::string&)> log);

  // Must be called before start(). The objects stay owned by the caller and must outlive the router's use.
  void attach(Transport& transport, MembershipSource& members, RangeSource* ranges = nullptr);
  // Starts the coordinator with the servers known from an earlier run, possibly none.
  void start(const std::vector<Member>& known);

  // Client side.
  // Accepts a query. `on_complete` is called from run(), never during this call.
  QueryNumber submit(QuerySpec spec, CompletionCallback on_complete);
  // The client has disconnected: no result is delivered. Unknown and completed queries are ignored.
  void withdraw(QueryNumber number);

  // Server side.
  void attempt_ended(AttemptNumber attempt, AttemptResult result);
  void probe_ended(const std::string& server, Outcome outcome, Millis elapsed, const Load& load);
  // Delivers an endpoint list. `end`: how a failed request ended, for Kind::failed. `revision`: of the list;
  // 0 if it has none.
  void update_endpoints(winchhall::ServerList::Kind kind, const std::vector<Member>& members,
                        winchhall::CallEnd end = winchhall::CallEnd::failed, long long revision = 0);
  void on_list_keepalive();      // the watch delivered data, possibly just a keepalive line
  void on_list_service_moved();  // the discovery service has a new address; the watch is lost
  // Replaces the range map. Open queries that it affects are replanned.
  void update_ranges(ranges::RangeMap map);

  // Replaces the settings. Open queries keep the class version they arrived under.
  void change_settings(const winchhall::Settings& settings);

  // Processes queued events and due timers until none is left. Must be called after any of the above. Nested
  // calls return at once.
  void run();
  // When run() has to be called next; 0 if events are queued, infinity if nothing is pending.
  Millis next_due() const;

  const winchhall::Settings& settings() const { return settings_; }
  // Counters in the order of the first settings' classes, followed by classes in the order of their
  // appearance.
  const std::vector<QueryCounters>& counters() const { return counters_; }
  const std::string& counter_name(std::size_t i) const { return counter_names_[i]; }
  std::size_t open_queries() const { return open_queries_; }
  std::size_t attempts_in_flight() const { return attempts_.size(); }
  std::size_t known_servers() const { return servers_.size(); }
  std::vector<Member> members() const;                        // the current endpoint list
  long long list_revision() const { return list_revision_; }  // of that list; 0: none
  // Lists delivered to the coordinator, including failed requests.
  std::size_t lists_delivered() const { return lists_delivered_; }
  const ranges::RangeMap& map() const { return map_; }

  // Effects of range changes on parts of open queries since the start. replaced: by parts over the new
  // ranges; merged: with a neighbouring part; rerouted: to other replicas of the same range; on_hold: kept
  // from new attempts while one is in flight; denied: rejected by a server as not the owner; dropped: answers
  // that overlapped accounts already received.
  struct RangeMigrations {
    std::uint64_t replaced = 0, merged = 0, rerouted = 0, on_hold = 0, denied = 0, dropped = 0;
  };
  const RangeMigrations& range_migrations() const { return range_migrations_; }

 private:
  // Additional state of a part over an account range; separate, since parts of shards don't need it.
  struct SpanPart {
    ranges::PlannedPart planned{};
    ranges::Revision requested_revision{};  // revision of the range map of its last attempt
    int in_flight = 0;                      // attempts in flight
    bool replaced = false;                  // by successors: no further attempts, late answers are dropped
    bool on_hold = false;                   // its range no longer exists, or a newer map is awaited
  };
  struct PartState {
    QueryPart spec{};
    bool received = false;  // its answer was received
    std::vector<std::string> values{};
    std::vector<AttemptNumber> attempts{};
    std::unique_ptr<SpanPart> span{};
  };
  struct QueryState {
    QuerySpec spec;
    CompletionCallback on_complete;  // empty once the result was delivered
    Millis arrived = 0;
    std::shared_ptr<const std::string> text;
    std::vector<PartState> parts;
    int in_flight = 0;                      // attempts in flight
    std::size_t counted_items = 0;          // the query and its parts, counted against Settings::max_open
    bool delivered_to_coordinator = false;  // QueryArrived was delivered to the coordinator
    std::optional<ranges::Coverage> coverage;
  };
  struct AttemptState {
    QueryNumber query = 0;
    std::size_t part = 0;
    int count = 0;  // number within its part, from 0
    std::string server;
    Millis sent = 0, until = 0;
  };
  struct KnownServer {
    Member member;
    std::size_t last_list = 0;  // number of the last list that contained it
  };

  void assign_counters();
  QueryCounters& counters_for(int query_class) {
    return counters_[counters_by_class_[static_cast<std::size_t>(query_class)]];
  }
  void handle(const winchhall::Event& event);
  void execute(const winchhall::Action& action);
  void send(const winchhall::SendPart& action);
  void finish_attempt(AttemptNumber attempt, AttemptResult result);
  void finish(QueryNumber number, QueryResult result);
  void recall_unsent(QueryNumber number);
  void recall(AttemptNumber attempt);
  void forget_if_finished(QueryNumber number);
  bool accept_span_answer(QueryState& query, const AttemptState& attempt, AttemptResult& result);
  void replan_after_attempt(QueryState& query, const AttemptState& attempt, bool denies,
                            const AttemptResult& result);
  static PartState span_part(ranges::PlannedPart planned);
  QueryResult answer(const QueryState& query, bool complete) const;
  // Plans the query's spans. Returns the reason if that fails, else an empty string; sets
  // `retry_may_succeed` to whether a retry may.
  std::string plan(QueryState& query, bool& retry_may_succeed);
  void replan(QueryNumber number);
  void apply_decision(QueryNumber number, const ranges::Decision& decision);
  void replace_parts(QueryNumber number, const ranges::Decision& decision);
  void set_holders(QueryNumber number, std::size_t part, bool on_hold);
  void handle_denial(QueryNumber number, std::size_t part, const AttemptResult& result,
                     bool coordinator_notified);
  static ranges::OpenPart open_part(const QueryState& query, std::size_t part);
  std::vector<double> report(const Load& load) const;
  static std::string part_id(QueryNumber number, std::size_t part);
  std::pair<QueryNumber, std::size_t> part_of(const std::string& id) const;

  winchhall::Settings settings_;
  std::function<Millis()> clock_;
  std::function<void(const std::string&)> log_;
  winchhall::Coordinator coordinator_;
  Transport* transport_ = nullptr;
  MembershipSource* members_ = nullptr;
  long long list_revision_ = 0;
  std::vector<std::function<void()>> event_queue_;
  bool running_ = false;
  QueryNumber next_query_ = 1;
  AttemptNumber next_attempt_ = 1;
  std::map<QueryNumber, QueryState> queries_;
  std::map<AttemptNumber, AttemptState> attempts_;
  std::map<std::string, KnownServer> servers_;
  std::multimap<Millis, std::int64_t> timers_;
  std::set<std::pair<Millis, AttemptNumber>> attempt_ends_;
  std::set<std::pair<Millis, QueryNumber>> query_ends_;
  // Parts that wait for a newer range map, with the end of the wait.
  std::set<std::pair<Millis, std::pair<QueryNumber, std::size_t>>> directory_deadlines_;
  RangeSource* range_source_ = nullptr;
  ranges::RangeMap map_;
  RangeMigrations range_migrations_;
  std::size_t open_queries_ = 0, open_items_ = 0, lists_delivered_ = 0;
  ClassRegistry classes_;
  std::vector<QueryCounters> counters_;         // a class keeps its counters when its settings change
  std::vector<std::string> counter_names_;      // class names, in the same order
  std::vector<std::size_t> counters_by_class_;  // by class index: index into counters_
};

}  // namespace winchhall::coordination
