#include "aggregator/dynamic_config/files_source.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace winchhall::files {
namespace {

using generations::Fault;
using generations::Verdict;
using Kind = winchhall::ServerList::Kind;
constexpr net::Millis kOrdersEvery = 500;  // ms between looks for an operator's words in the store
constexpr std::size_t kLoggedMost = 10;    // faults of one set; `winchhall files check` tells all
}  // namespace

// What the thread found. Nothing of it is shared with the loop before it is done.
struct FilesSource::Read {
  Look look{};
  std::uint64_t digest = 0;
  bool known = false;  // the bytes of the look before: not read again
  generations::GenerationPtr checked{};
  std::vector<Fault> faults{};
};

FilesSource::FilesSource(net::Loop& loop, core::Exchange& exchange, FilesOptions options)
    : loop_(loop),
      exchange_(exchange),
      options_(std::move(options)),
      keeper_(options_.bounds, options_.limits),
      worker_(loop) {}

FilesSource::~FilesSource() {
  loop_.cancel(timer_);
  loop_.cancel(gone_timer_);
  loop_.cancel(orders_timer_);
}

void FilesSource::start() {
  if (!options_.store.empty()) restore();
  folder_ = std::make_unique<FolderWatch>(loop_, options_.folder, [this] {
    settling_.event(loop_.now());
    arm();
  });
  if (!folder_->working())
    spdlog::warn("files: no word of changes to be had, {} is looked at now and then", options_.folder);
  look();
}

generations::GenerationPtr FilesSource::parse(const FilesOptions& options, const generations::Bytes& bytes,
                                              std::uint64_t digest) {
  generations::Rows rows;
  std::vector<Fault> faults;
  options.read(bytes, rows, faults);
  return faults.empty() ? generations::check(rows, digest, options.bounds, faults) : nullptr;
}

// What was in use before the process ended is in use again before any file is looked at: jobs run in order.
void FilesSource::restore() {
  store_ = std::make_shared<store::Opened>();
  auto found = std::make_shared<generations::GenerationPtr>();
  worker_.run(
      [opened = store_, found, options = &options_] {
        *opened = store::open(options->store);
        if (!opened->store) return;
        if (auto kept = opened->store->newest_taken()) *found = parse(*options, kept->bytes, kept->digest);
      },
      [this, opened = store_, found] {
        if (!opened->set_aside.empty())
          spdlog::warn("store: {} was spoilt and is now {}; a new one is begun", options_.store,
                       opened->set_aside);
        if (!opened->store)
          return spdlog::warn("store: {}: {}; nothing outlives this process", options_.store, opened->why);
        ask_orders();
        if (!*found) return;
        keeper_.restore(*found, loop_.now());
        last_digest_ = (*found)->digest;
        spdlog::info("files restored: generation {}, {} nodes, from the store",
                     generations::digest_text(last_digest_), (*found)->members.size());
        tell_members();
      });
}

void FilesSource::keep(const generations::Found& found, generations::Bytes bytes) {
  if (!store_ || found.verdict == Verdict::same) return;
  auto kept = std::make_shared<store::Kept>();
  kept->digest = found.digest;
  kept->at = loop_.now();
  kept->verdict = name_of(found.verdict);
  kept->why = found.faults.empty() ? found.why : found.faults[0].text();
  if (found.verdict != Verdict::refused) kept->bytes = std::move(bytes);
  auto fault = std::make_shared<std::string>();
  worker_.run(
      [opened = store_, kept, fault] {
        if (opened->store && !opened->store->put(*kept)) *fault = opened->store->fault();
      },
      [this, fault] {
        ++(fault->empty() ? figures_.kept : figures_.not_kept);
        if (!fault->empty())
          spdlog::warn("store: {}: a generation was not kept: {}; it serves all the same", options_.store,
                       *fault);
      });
}

// An operator's words come through the store: `winchhall files accept` leaves them there.
void FilesSource::ask_orders() {
  auto orders = std::make_shared<std::vector<store::Order>>();
  auto wanted = std::make_shared<std::vector<generations::GenerationPtr>>();
  worker_.run(
      [opened = store_, orders, wanted, options = &options_] {
        *orders = opened->store->open_orders();
        for (const store::Order& o : *orders) {
          auto kept = o.word == "rollback" ? opened->store->find(o.digest) : std::nullopt;
          wanted->push_back(kept ? parse(*options, kept->bytes, kept->digest) : nullptr);
        }
      },
      [this, orders, wanted] {
        if (!orders->empty()) carry_out(*orders, *wanted);
        orders_timer_ = loop_.at(loop_.now() + kOrdersEvery, [this] {
          orders_timer_ = {};
          ask_orders();
        });
      });
}

void FilesSource::carry_out(std::vector<store::Order> orders,
                            std::vector<generations::GenerationPtr> wanted) {
  net::Millis now = loop_.now();
  for (std::size_t i = 0; i < orders.size(); ++i) {
    store::Order& o = orders[i];
    std::string digest = generations::digest_text(o.digest);
    bool done = o.word == "accept"     ? keeper_.accept(o.digest, now)
                : o.word == "rollback" ? keeper_.rollback(wanted[i], now)
                                       : false;
    o.answer = done                   ? "done"
               : o.word == "accept"   ? "no generation of that digest is held"
               : o.word != "rollback" ? "no such order"
               : wanted[i]            ? "that generation is in use"
                                      : "the store has no sound generation of that digest";
    spdlog::info("files: an operator's word: {} {}: {}", o.word, digest, o.answer);
    if (!done) continue;
    ++figures_.taken;
    tell_members();
    // What it was kept as before stays in the history; now it is what a return would begin with.
    worker_.run(
        [opened = store_, digest_number = o.digest, at = now, word = o.word] {
          if (auto kept = opened->store->find(digest_number)) {
            kept->verdict = "taken";
            kept->why = word + " by an operator";
            kept->at = at;
            opened->store->put(*kept);
          }
        },
        [] {});
  }
  worker_.run(
      [opened = store_, orders] {
        for (const store::Order& o : orders) opened->store->answer(o.id, o.answer);
      },
      [] {});
}

void FilesSource::arm() {
  loop_.cancel(timer_);
  if (looking_) return;
  timer_ = loop_.at(std::max(settling_.due(), loop_.now()), [this] {
    timer_ = {};
    look();
  });
}

void FilesSource::look() {
  if (looking_) return;
  looking_ = true;
  ++figures_.looks;
  net::Millis now = loop_.now(), first = settling_.first_event() < 0 ? now : settling_.first_event();
  folder_->rearm();
  settling_.looking(now);
  auto found = std::make_shared<Read>();
  worker_.run(
      [found, options = &options_, last = last_digest_] {
        found->look = look_at(options->folder, options->most_bytes);
        if (found->look.disturbed || !found->look.there) return;
        found->digest = generations::digest_of(found->look.bytes);
        found->faults = found->look.faults;
        found->known = found->digest == last && found->faults.empty();
        if (found->known || !found->faults.empty()) return;
        generations::Rows rows;
        options->read(found->look.bytes, rows, found->faults);
        if (found->faults.empty())
          found->checked = generations::check(rows, found->digest, options->bounds, found->faults);
      },
      [this, found, first] {
        looking_ = false;
        looked(*found, first);
        arm();
      });
}

void FilesSource::looked(Read& read, net::Millis first_event) {
  net::Millis now = loop_.now();
  if (!read.look.there) {
    if (std::exchange(there_, false))
      spdlog::warn("files: {} is gone, what is in use stays", options_.folder);
    return;
  }
  if (!std::exchange(there_, true)) spdlog::info("files: {} is back", options_.folder);
  if (read.look.disturbed) {
    ++figures_.disturbed;
    return settling_.disturbed(now);
  }
  if (read.known) return;
  last_digest_ = read.digest;
  generations::Found found = keeper_.found(read.checked, read.digest, read.faults, now);
  std::string digest = generations::digest_text(found.digest);
  keep(found, std::move(read.look.bytes));
  switch (found.verdict) {
    case Verdict::same:
      return;
    case Verdict::refused:
      ++figures_.refused;
      for (std::size_t i = 0; i < std::min(found.faults.size(), kLoggedMost); ++i)
        spdlog::warn("files refused: {}/{}", options_.folder, found.faults[i].text());
      if (found.faults.size() > kLoggedMost)
        spdlog::warn("files refused: {} further faults", found.faults.size() - kLoggedMost);
      if (found.doubtful) settling_.doubtful(now);
      return;
    case Verdict::held:
      ++figures_.held;
      spdlog::warn("files held: generation {}: {}; what is in use stays", digest, found.why);
      return;
    case Verdict::taken:
      ++figures_.taken;
      figures_.slowest_take = std::max(figures_.slowest_take, now - first_event);
      spdlog::info(
          "files taken: generation {} number {}, {} nodes, {} ranges, {:.0f} ms after the first write",
          digest, keeper_.number(), keeper_.current()->members.size(),
          keeper_.current()->map ? keeper_.current()->map->size() : 0, now - first_event);
      return tell_members();
  }
}

// Members and map go in one after the other within one turn: no query is planned between them.
void FilesSource::tell_members() {
  net::Millis now = loop_.now();
  exchange_.list(Kind::complete, keeper_.members(now));
  if (keeper_.number() != std::exchange(last_number_, keeper_.number()))
    if (auto map = keeper_.map()) exchange_.remap(std::move(*map));
  loop_.cancel(gone_timer_);
  if (net::Millis at = keeper_.next_gone(); std::isfinite(at))
    gone_timer_ = loop_.at(at, [this] {
      gone_timer_ = {};
      tell_members();
    });
}

void FilesSource::watch(bool on) {
  // Each call is answered by one list at least; before any set was taken there is none to tell.
  if (on && keeper_.current()) tell_members();
  if (on && !keeper_.current()) exchange_.list(Kind::changes, {});
}

void FilesSource::fetch() { watch(true); }

void FilesSource::refresh() {
  settling_.event(loop_.now());
  arm();
}

}  // namespace winchhall::files
