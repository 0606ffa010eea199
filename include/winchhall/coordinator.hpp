// The interface of winchhall: settings and events go in, actions come out. All of them are plain values.
//
// A Coordinator is one broker's view. It has no clock, no I/O, no threads and no globals: the caller brings
// the time (milliseconds, any origin) and the seed, and carries out the returned actions in order. The same
// events give the same actions. One object must not be used from two threads at once; two objects share
// nothing. Ids are the caller's and are copied. An event that names an id this object does not hold is
// ignored.
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

enum class Repeat { safe, keyed, unsafe };  // may a part run twice: always; within `repeat_window`; never

struct ClassSettings {
  std::string name{};
  Repeat repeat = Repeat::safe;
  Millis aim = 1000;          // full worth within this time of the query's arrival
  Millis deadline = 1000;     // what a client waits in all, every try together
  double late_worth = 0;      // share of the worth earned between aim and deadline
  double worth = 1;           // of a whole answer, to weigh classes against each other
  Millis repeat_window = 0;   // keyed: how long repeats are dropped, from the first attempt that may have run
  double need = 1;            // share of weight that makes a whole answer
  double floor = 1;           // least share of weight for any answer
  double partial_worth = 0;   // a partial answer earns this x share / need
  int second_step_parts = 0;  // above 0: the first answer brings a second step of so many parts
  bool operator==(const ClassSettings&) const = default;
};

struct TenantSettings {
  std::string name{};
  double quota_per_s = 0;  // queries a second within its share, all brokers together; 0: none stated
  bool operator==(const TenantSettings&) const = default;
};

enum class ReportField { queued, in_flight, service_ms, other };

struct Settings {
  std::vector<ClassSettings> classes{};
  std::vector<TenantSettings> tenants{};
  double over_share_worth = 1;  // worth of a query above its tenant's share
  int brokers = 1;              // how many brokers send to the same servers
  int cells = 1;                // shard s is held by the servers of cells (s + j) mod cells, j < reach
  int reach = 1;
  Millis tick = 1;               // events may be this late
  bool list_on_request = false;  // the server list must be asked for
  bool list_watched = false;     // ... or comes on a watch that must be held all the same
  Millis must_ask_in = 0;        // ... at least this often while there is no watch
  bool may_cancel = false;
  bool may_probe = false;
  bool may_hedge = false;  // two attempts of a part at once: late parts of classes that are safe get a copy
  bool retry_after_heard = false;
  Millis max_retry_after = 0;
  bool weights_count = false;  // a server's size says how much it takes beside others
  int max_attempts = 1;        // per part
  int max_open = 0;            // queries and parts held at most; 0: no limit stated
  Millis answer_grace = 0;     // a final answer still counts this long after give_up_at
  Millis drain_grace = 0;      // sends to a draining server must have stopped by then
  double cold_share = 1;       // a server starts with at least this share of its capacity
  Millis cold_time = 0;        // and is warm within this time
  double fall_multiple = 0;    // sent more than this x its present capacity ... (0: no such rule)
  Millis fall_time = 0;        // ... for this long, by all brokers, a cold server falls over
  bool budget = false;         // further attempts are rationed:
  double budget_free = 0;      // at most so many ...
  double budget_share = 0;     // ... plus this share of queries and parts taken ...
  Millis budget_window = 0;    // ... in any window of this length
  bool reports = false;
  std::vector<ReportField> report_fields{};  // the order of values in a report
  bool operator==(const Settings&) const = default;
};

// ---- Events
// -------------------------------------------------------------------------------------------------

enum class ServerState { ready, draining, gone };

struct ServerEntry {
  std::string server{};
  int cell = 0;
  double size = 1;  // relative to other servers, where known
  ServerState state = ServerState::ready;
  std::optional<Millis> started{};  // absent: long ago
};

// How a call for the list failed.
enum class CallEnd {
  failed,   // somebody was there: it said no, broke off, or said nothing more
  silent,   // no connection came up, and nothing says why
  refused,  // the connection was refused: nobody could be asked in that moment
  ended,    // the watch was ended in good order: all that there was to tell until then has come
};

// What discovery says. `complete`: servers not named are gone. `failed`: a call failed or the watch broke.
struct ServerList {
  enum class Kind { cached, complete, changes, failed } kind = Kind::complete;
  std::vector<ServerEntry> servers{};
  CallEnd end = CallEnd::failed;  // failed: how
};

// The watch wrote something, if only its empty line. Where this is never told, its silence means nothing.
struct ListHeard {};

// The service that is asked for the list is at another address; what was open to the old one is void.
struct ListMoved {};

struct PartSpec {
  std::string part{};
  int shard = 0;
  double weight = 0;             // share of its step; a step's weights sum to 1
  std::optional<double> hint{};  // expected work, milliseconds
  // The servers that may be asked, by name; none stated: the layout's formula over `shard`.
  std::optional<std::vector<std::string>> holders{};
};

// A query with all parts of its first step. The broker now owes it one final answer before `give_up_at`.
struct QueryArrived {
  std::string query{};
  int query_class = 0;  // index into Settings::classes
  int tenant = -1;      // index into Settings::tenants, or -1
  Millis give_up_at = 0;
  bool repeat = false;                 // marked by its client as a repeat
  std::optional<std::uint64_t> key{};  // what the query is about, where known; a repeat has the same
  std::vector<PartSpec> parts{};
};

// The second step of a query, after its first answer.
struct PartsAdded {
  std::string query{};
  std::vector<PartSpec> parts{};
};

// not_mine: the server has not what the part asks for; it never ran there, and nothing is wrong with it.
enum class Outcome { ok, error, full, timeout, connect_failed, reset, cancelled, unsent, not_mine };

// How an attempt ended; exactly one for each SendPart. Attempts of a part count from 0 in the order sent.
struct AttemptEnded {
  std::string part{};
  int attempt = 0;
  std::string server{};
  Outcome outcome = Outcome::ok;
  Millis elapsed = 0;
  bool part_closed = false;
  std::vector<double> report{};  // by Settings::report_fields; empty: none came
  bool written = true;           // false: it never left the caller, and counts as no attempt of its part
};

// A part is held by other servers from now on, or by none for the time being (it waits). An attempt that is
// out goes on.
struct HoldersChanged {
  std::string part{};
  std::vector<std::string> holders{};
};

// Parts of one query without an attempt out give way to others of the same work, each with its holders. The
// attempts that the most tried of them has used count for every successor.
struct PartsReplaced {
  std::vector<std::string> parts{};
  std::vector<PartSpec> successors{};
};

// Streamed classes: the attempt now belongs to the client and can no longer be moved.
struct AttemptStarted {
  std::string part{};
  int attempt = 0;
};

struct ProbeEnded {
  std::string server{};
  Outcome outcome = Outcome::ok;
  Millis elapsed = 0;
  std::vector<double> report{};
};

struct PeerMessage {
  int from = 0;
  std::string bytes{};
};

struct TimerFired {
  std::int64_t tag = 0;
};

// The client has left; the query and its parts are closed.
struct QueryWithdrawn {
  std::string query{};
};

// Other settings from now on. Queries that are open keep their class, by its index, and their number of
// attempts.
struct SettingsChanged {
  Settings settings{};
  std::vector<int> from{};  // by class: the index of before whose learned figures hold for it, or -1
};

using Event = std::variant<ServerList, SettingsChanged, ListHeard, ListMoved, QueryArrived, PartsAdded,
                           AttemptEnded, HoldersChanged, PartsReplaced, AttemptStarted, ProbeEnded,
                           PeerMessage, TimerFired, QueryWithdrawn>;

// ---- Actions
// ------------------------------------------------------------------------------------------------

struct SendPart {
  std::string part{};
  std::string server{};
  Millis timeout = 0;  // above 0
  // Not to be written later than this, whatever it waits for; AttemptEnded with `unsent` then.
  Millis send_by = std::numeric_limits<Millis>::infinity();
};
struct CancelAttempt {
  std::string part{};
  int attempt = 0;
};
struct AnswerQuery {  // final, but for the first of two steps
  std::string query{};
  bool whole = false;
};
struct RefuseQuery {  // final; trying again is harmless
  std::string query{};
  Millis retry_after = 0;  // 0: no advice
};
struct FailQuery {  // final; promises nothing
  std::string query{};
};
struct SendProbe {
  std::string server{};
};
struct WatchList {  // ask for changes from now on; answered by one ServerList
  bool on = true;
};
struct FetchList {};  // ask for the whole list once
struct CloseIdle {
  std::string server{};
};
struct TellPeers {
  int to = -1;  // -1: all
  std::string bytes{};
};
struct SetTimer {
  Millis at = 0;
  std::int64_t tag = 0;
};
struct LogLine {
  std::string text{};
};

using Action = std::variant<SendPart, CancelAttempt, AnswerQuery, RefuseQuery, FailQuery, SendProbe,
                            WatchList, FetchList, CloseIdle, TellPeers, SetTimer, LogLine>;

// -------------------------------------------------------------------------------------------------------------

class Coordinator {
 public:
  Coordinator(Settings settings, std::uint64_t seed, Millis now);
  ~Coordinator();
  Coordinator(Coordinator&&) noexcept;
  Coordinator& operator=(Coordinator&&) noexcept;

  // Actions due at the start (timers, the watch); call once before the first event.
  std::vector<Action> start();
  // Takes one event. A `now` before an earlier one counts as that earlier one.
  std::vector<Action> handle(Millis now, const Event& event);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace winchhall
