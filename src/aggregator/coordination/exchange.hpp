// Where the client side and the server side meet, and the driver of the decision module. Fronts submit
// queries and get verdicts; carriers get orders and tell how attempts ended; a membership source tells which
// servers there are. The core knows no wire: no descriptor, no address but an opaque word, no protocol.
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

#include "aggregator/coordination/class_table.hpp"
#include "aggregator/ranges/replan.hpp"
#include "winchhall/coordinator.hpp"

namespace winchhall::core {

using winchhall::Millis;
using winchhall::Outcome;

// ---- Client side

struct QueryPart {
  int shard = 0;
  double weight = 0;
  std::optional<Millis> hint{};  // expected work
};

struct QuerySpec {
  std::string id{};  // as the client named it
  int query_class = 0;
  int tenant = -1;
  Millis give_up_at = 0;
  bool repeat = false;
  std::optional<std::uint64_t> key{};
  std::string text{};  // what every part carries, unchanged
  std::vector<QueryPart> parts{};
  // Instead of parts: the accounts it is about. They are cut into parts by the map of ranges, and cut anew
  // when ranges move while it runs.
  std::vector<ranges::Span> spans{};
  std::optional<Millis> hint{};  // spans: expected work of all
};

struct Row {
  int shard = 0;
  std::vector<std::string> values{};  // as the server gave them
  ranges::Span span{};                // empty: by shard
  ranges::Revision revision{};        // of the map that the server was asked under
};

struct Verdict {
  enum class Kind { answered, refused, failed, unfit } kind = Kind::failed;  // unfit: nobody could answer it
  bool whole = false;
  double share = 0;        // of the parts' weight that is in
  Millis retry_after = 0;  // refused: 0 is no advice
  std::vector<Row> rows{};
  std::string why{};  // where it isn't the module's word
};

using QueryNumber = std::uint64_t;
using Sink = std::function<void(Verdict)>;  // called once, or never after withdraw()

// ---- Server side

using AttemptNumber = std::uint64_t;

struct Load {  // as a server reported it; what is absent was not told
  std::optional<double> queued{}, in_flight{}, service_ms{};
};

struct Order {
  AttemptNumber attempt = 0;
  std::string server{}, endpoint{};
  std::string part{};  // the query's name, a dot and the shard
  int shard = 0;
  Millis until = 0;  // the attempt is abandoned then
  // Not to be written later than this: it would be a repeat out of time, or for a server that may drain.
  Millis send_by = std::numeric_limits<Millis>::infinity();
  std::shared_ptr<const std::string> text{};
  // What is asked for where the span isn't empty: these accounts, as the map had them at this revision.
  ranges::Span span{};
  ranges::RangeId range = 0;
  ranges::Revision revision{};
};

struct Result {
  Outcome outcome = Outcome::ok;
  std::vector<std::string> values{};
  Load load{};
  std::shared_ptr<const ranges::NotMine> denial{};  // Outcome::not_mine
  bool written = true;                              // false: its last byte never left here
};

// Guards against a connection that fell silent without a sign: its server is sound on a new one, and every
// part sent there would be lost, the one that tries a server set aside again as well. A carrier tells what
// passes and calls elsewhere once silent() holds.
class Silence {
 public:
  void heard(Millis now) {
    heard_at_ = now;
    lost_ = 0;
  }
  // An attempt written at `written` was given up without an answer.
  void given_up(Millis written, Millis now) {
    if (written <= heard_at_ || written == last_) return;
    last_ = written;
    lost_ = now - written > kLong ? kLost : lost_ + 1;
  }
  bool silent() const { return lost_ >= kLost; }

 private:
  static constexpr Millis kLong = 50;  // ms: longer than a sound server needs beside a short queue
  static constexpr int kLost = 2;      // or so many in a row: one may be a client that went away
  Millis heard_at_ = 0, last_ = 0;
  int lost_ = 0;
};

class Carrier {
 public:
  virtual void launch(const Order& order) = 0;  // reports by attempt_ended(), never before it returns
  virtual void flush() = 0;                     // no more orders in this round
  virtual void abandon(AttemptNumber attempt) = 0;
  // Takes back an attempt of which nothing has been written, without a word to anybody; false if something
  // has.
  virtual bool recall(AttemptNumber attempt) = 0;
  virtual void probe(const std::string& server, const std::string& endpoint) = 0;
  virtual void close_idle(const std::string& server) = 0;
  virtual void retire(const std::string& server) = 0;  // the process behind older connections is gone

 protected:
  ~Carrier() = default;
};

struct Member {
  winchhall::ServerEntry entry{};
  std::string endpoint{};
};

class MembershipSource {
 public:
  virtual void watch(bool on) = 0;  // each call is answered by one list at least
  virtual void fetch() = 0;

 protected:
  ~MembershipSource() = default;
};

// Tells the map of ranges by Exchange::remap(), whenever it has a new one.
class RangeSource {
 public:
  virtual void refresh() = 0;  // a server knows of a later revision: ask now

 protected:
  ~RangeSource() = default;
};

// ---- Service figures, per class

struct Figures {
  std::uint64_t taken = 0, whole = 0, partial = 0, refused = 0, failed = 0, withdrawn = 0, attempts = 0;
  double worth_asked = 0, worth_earned = 0;
  bool operator==(const Figures&) const = default;
};

class Exchange {
 public:
  Exchange(winchhall::Settings settings, std::uint64_t seed, std::function<Millis()> clock,
           std::function<void(const std::string&)> log);

  void attach(Carrier& carrier, MembershipSource& members, RangeSource* ranges = nullptr);
  void start(const std::vector<Member>& known);

  // Client side.
  QueryNumber submit(QuerySpec spec, Sink sink);
  void withdraw(QueryNumber number);

  // Server side.
  void attempt_ended(AttemptNumber attempt, Result result);
  void probe_ended(const std::string& server, Outcome outcome, Millis elapsed, const Load& load);
  // `end`, of a call that failed: how. `revision` of the list that these members make; 0: it has none.
  void list(winchhall::ServerList::Kind kind, const std::vector<Member>& members,
            winchhall::CallEnd end = winchhall::CallEnd::failed, long long revision = 0);
  void list_heard();  // the watch wrote something, if only its empty line
  void list_moved();  // the service is asked elsewhere from now on; the watch of before is void
  // The map from now on. Queries that are open are planned again where it touches them.
  void remap(ranges::RangeMap map);

  // Other settings from now on, of classes as of all else; queries that are open keep the class they came
  // under.
  void retune(const winchhall::Settings& settings);

  // Carries events to the module and its actions out, until nothing is due. Call whenever the above were.
  void run();
  Millis next_due() const;

  const winchhall::Settings& settings() const { return settings_; }
  // By class as the settings of the start have them, and then by the order in which other names came.
  const std::vector<Figures>& figures() const { return figures_; }
  const std::string& figures_name(std::size_t i) const { return figures_names_[i]; }
  std::size_t open_queries() const { return open_; }
  std::size_t attempts_out() const { return attempts_.size(); }
  std::size_t known_servers() const { return servers_.size(); }
  std::vector<Member> members() const;                        // the list as it is held
  long long list_revision() const { return list_revision_; }  // of that list; 0: none was told with one
  std::size_t lists_told() const { return lists_told_; }      // to the module, failed calls included
  const ranges::RangeMap& map() const { return map_; }

  struct Moves {  // what moving ranges did to open queries since the start
    std::uint64_t replaced = 0, joined = 0, elsewhere = 0, held_back = 0, denied = 0, dropped = 0;
  };
  const Moves& moves() const { return moves_; }

 private:
  // What a part of a span has besides. Apart from the others: on the platform no part has it.
  struct SpanPart {
    ranges::PlannedPart planned{};
    ranges::Revision asked{};  // of the map that its last attempt was made under
    int out = 0;
    bool replaced = false;   // by others: nothing more is asked or heard of it
    bool held_back = false;  // its range is no more, or a server's word on it is awaited
  };
  struct PartState {
    QueryPart spec{};
    bool in = false;
    std::vector<std::string> values{};
    std::vector<AttemptNumber> attempts{};
    std::unique_ptr<SpanPart> span{};
  };
  struct QueryState {
    QuerySpec spec;
    Sink sink;  // empty once the verdict is out
    Millis arrived = 0;
    std::shared_ptr<const std::string> text;
    std::vector<PartState> parts;
    int out = 0;
    std::size_t held = 0;  // of the site's limit
    bool arrived_at_module = false;
    std::optional<ranges::Coverage> coverage;
  };
  struct AttemptState {
    QueryNumber query = 0;
    std::size_t part = 0;
    int count = 0;  // which attempt of its part
    std::string server;
    Millis sent = 0, until = 0;
  };
  struct Known {
    Member member;
    std::size_t named = 0;  // number of the last list that named it
  };

  void name_figures();
  Figures& figures_for(int query_class) {
    return figures_[figures_of_[static_cast<std::size_t>(query_class)]];
  }
  void handle(const winchhall::Event& event);
  void act(const winchhall::Action& action);
  void send(const winchhall::SendPart& action);
  void finish_attempt(AttemptNumber attempt, Result result);
  void finish(QueryNumber number, Verdict verdict);
  void recall_unsent(QueryNumber number);
  void recall(AttemptNumber attempt);
  void settle(QueryNumber number);
  bool spans_ended(QueryState& query, const AttemptState& attempt, Result& result);
  void spans_settled(QueryState& query, const AttemptState& attempt, bool denies, const Result& result);
  static PartState span_part(ranges::PlannedPart planned);
  Verdict answer(const QueryState& query, bool whole) const;
  // Empty, or why these spans can't be planned; `later`: it may go in a while.
  std::string plan(QueryState& query, bool& later);
  void replan(QueryNumber number);
  void carry_out(QueryNumber number, const ranges::Decision& decision);
  void replace(QueryNumber number, const ranges::Decision& decision);
  void holders(QueryNumber number, std::size_t part, bool held_back);
  void denied(QueryNumber number, std::size_t part, const Result& result, bool heard);
  static ranges::OpenPart open_part(const QueryState& query, std::size_t part);
  std::vector<double> report(const Load& load) const;
  static std::string part_id(QueryNumber number, std::size_t part);
  std::pair<QueryNumber, std::size_t> part_of(const std::string& id) const;

  winchhall::Settings settings_;
  std::function<Millis()> clock_;
  std::function<void(const std::string&)> log_;
  winchhall::Coordinator coordinator_;
  Carrier* carrier_ = nullptr;
  MembershipSource* members_ = nullptr;
  long long list_revision_ = 0;
  std::vector<std::function<void()>> inbox_;
  bool running_ = false;
  QueryNumber next_query_ = 1;
  AttemptNumber next_attempt_ = 1;
  std::map<QueryNumber, QueryState> queries_;
  std::map<AttemptNumber, AttemptState> attempts_;
  std::map<std::string, Known> servers_;
  std::multimap<Millis, std::int64_t> timers_;
  std::set<std::pair<Millis, AttemptNumber>> attempt_ends_;
  std::set<std::pair<Millis, QueryNumber>> query_ends_;
  // Parts whose server knows of a later map: they wait for the directory's word until then at the longest.
  std::set<std::pair<Millis, std::pair<QueryNumber, std::size_t>>> word_due_;
  RangeSource* range_source_ = nullptr;
  ranges::RangeMap map_;
  Moves moves_;
  std::size_t open_ = 0, held_ = 0, lists_told_ = 0;
  ClassTable classes_;
  std::vector<Figures> figures_;            // a class keeps its counters whatever its settings become
  std::vector<std::string> figures_names_;  // of the same order
  std::vector<std::size_t> figures_of_;     // by class: its place there
};

}  // namespace winchhall::core
