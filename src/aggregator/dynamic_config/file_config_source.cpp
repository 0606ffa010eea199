#include "aggregator/dynamic_config/file_config_source.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace winchhall::dynamic_config {
namespace {

using dynamic_config::Fault;
using dynamic_config::ValidationOutcome;
using ListKind = winchhall::ServerList::Kind;
// Between reads of operators' commands from the store.
constexpr event_loop::Millis kCommandPollInterval = 500;
// Faults of one candidate that are logged; `winchhall files check` shows all.
constexpr std::size_t kMaxLoggedFaults = 10;
}  // namespace

// Result of one scan. Owned by the worker's thread until its completion is posted to the event loop.
struct FileConfigSource::ScanResult {
  FolderContents scan{};
  std::uint64_t digest = 0;
  bool known = false;  // equal to the previous scan: not parsed again
  dynamic_config::ConfigGenerationPtr checked{};
  std::vector<Fault> faults{};
};

FileConfigSource::FileConfigSource(event_loop::Loop& loop, coordination::RequestRouter& router,
                                   FileConfigOptions options)
    : loop_(loop),
      router_(router),
      options_(std::move(options)),
      generation_manager_(options_.bounds, options_.limits),
      worker_(loop) {}

FileConfigSource::~FileConfigSource() {
  loop_.cancel(timer_);
  loop_.cancel(removal_timer_);
  loop_.cancel(command_timer_);
}

void FileConfigSource::start() {
  if (!options_.store.empty()) restore();
  folder_ = std::make_unique<FolderWatch>(loop_, options_.folder, [this] {
    debouncer_.on_event(loop_.now());
    schedule_scan();
  });
  if (!folder_->working())
    spdlog::warn("files: inotify is not available; changes in {} are detected by periodic scans only",
                 options_.folder);
  scan();
}

dynamic_config::ConfigGenerationPtr FileConfigSource::parse(const FileConfigOptions& options,
                                                            const dynamic_config::Bytes& bytes,
                                                            std::uint64_t digest) {
  dynamic_config::Rows rows;
  std::vector<Fault> faults;
  options.parse_files(bytes, rows, faults);
  return faults.empty() ? dynamic_config::check(rows, digest, options.bounds, faults) : nullptr;
}

// The worker runs its jobs in order, so the stored generation is restored before any file is scanned.
void FileConfigSource::restore() {
  store_ = std::make_shared<dynamic_config::OpenedStore>();
  auto found = std::make_shared<dynamic_config::ConfigGenerationPtr>();
  worker_.run(
      [opened = store_, found, options = &options_] {
        *opened = dynamic_config::open(options->store);
        if (!opened->store) return;
        if (auto stored = opened->store->newest_taken())
          *found = parse(*options, stored->bytes, stored->digest);
      },
      [this, opened = store_, found] {
        if (!opened->set_aside.empty())
          spdlog::warn("store: {} was corrupt and has been renamed to {}; an empty store replaces it",
                       options_.store, opened->set_aside);
        if (!opened->store)
          return spdlog::warn("store: {} cannot be opened: {}; generations are not persisted", options_.store,
                              opened->why);
        fetch_operator_commands();
        if (!*found) return;
        generation_manager_.restore(*found, loop_.now());
        last_digest_ = (*found)->digest;
        spdlog::info("files restored: generation {}, {} nodes, from the store",
                     dynamic_config::digest_text(last_digest_), (*found)->members.size());
        publish_members();
      });
}

void FileConfigSource::persist(const dynamic_config::ValidationResult& result, dynamic_config::Bytes bytes) {
  if (!store_ || result.verdict == ValidationOutcome::same) return;
  auto stored = std::make_shared<dynamic_config::StoredSet>();
  stored->digest = result.digest;
  stored->at = loop_.now();
  stored->verdict = name_of(result.verdict);
  stored->why = result.faults.empty() ? result.why : result.faults[0].text();
  if (result.verdict != ValidationOutcome::refused) stored->bytes = std::move(bytes);
  auto fault = std::make_shared<std::string>();
  worker_.run(
      [opened = store_, stored, fault] {
        if (opened->store && !opened->store->put(*stored)) *fault = opened->store->fault();
      },
      [this, fault] {
        ++(fault->empty() ? figures_.stored : figures_.not_stored);
        if (!fault->empty())
          spdlog::warn("store: {}: a generation could not be stored: {}; its use is not affected",
                       options_.store, *fault);
      });
}

// Operators' commands come through the store, where `winchhall files accept` and `rollback` leave them.
void FileConfigSource::fetch_operator_commands() {
  auto commands = std::make_shared<std::vector<dynamic_config::OperatorCommand>>();
  auto targets = std::make_shared<std::vector<dynamic_config::ConfigGenerationPtr>>();
  worker_.run(
      [opened = store_, commands, targets, options = &options_] {
        *commands = opened->store->pending_commands();
        for (const dynamic_config::OperatorCommand& command : *commands) {
          auto stored = command.action == "rollback" ? opened->store->find(command.digest) : std::nullopt;
          targets->push_back(stored ? parse(*options, stored->bytes, stored->digest) : nullptr);
        }
      },
      [this, commands, targets] {
        if (!commands->empty()) run_operator_commands(*commands, *targets);
        command_timer_ = loop_.run_at(loop_.now() + kCommandPollInterval, [this] {
          command_timer_ = {};
          fetch_operator_commands();
        });
      });
}

void FileConfigSource::run_operator_commands(std::vector<dynamic_config::OperatorCommand> commands,
                                             std::vector<dynamic_config::ConfigGenerationPtr> targets) {
  event_loop::Millis now = loop_.now();
  for (std::size_t i = 0; i < commands.size(); ++i) {
    dynamic_config::OperatorCommand& command = commands[i];
    std::string digest = dynamic_config::digest_text(command.digest);
    bool done = command.action == "accept"     ? generation_manager_.accept(command.digest, now)
                : command.action == "rollback" ? generation_manager_.rollback(targets[i], now)
                                               : false;
    command.answer = done                           ? "done"
                     : command.action == "accept"   ? "no generation of that digest is held"
                     : command.action != "rollback" ? "no such order"
                     : targets[i]                   ? "that generation is in use"
                                                    : "the store has no sound generation of that digest";
    spdlog::info("files: an operator's word: {} {}: {}", command.action, digest, command.answer);
    if (!done) continue;
    ++figures_.taken;
    publish_members();
    // Stored once more as applied, so that a restart restores it; the earlier entry stays in the history.
    worker_.run(
        [opened = store_, digest_value = command.digest, at = now, action = command.action] {
          if (auto stored = opened->store->find(digest_value)) {
            stored->verdict = "taken";
            stored->why = action + " by an operator";
            stored->at = at;
            opened->store->put(*stored);
          }
        },
        [] {});
  }
  worker_.run(
      [opened = store_, commands] {
        for (const dynamic_config::OperatorCommand& command : commands)
          opened->store->answer(command.id, command.answer);
      },
      [] {});
}

void FileConfigSource::schedule_scan() {
  loop_.cancel(timer_);
  if (scanning_) return;
  timer_ = loop_.run_at(std::max(debouncer_.next_scan_at(), loop_.now()), [this] {
    timer_ = {};
    scan();
  });
}

void FileConfigSource::scan() {
  if (scanning_) return;
  scanning_ = true;
  ++figures_.scans;
  event_loop::Millis now = loop_.now(), first = debouncer_.first_event() < 0 ? now : debouncer_.first_event();
  folder_->rearm();
  debouncer_.on_scan_started(now);
  auto found = std::make_shared<ScanResult>();
  worker_.run(
      [found, options = &options_, last = last_digest_] {
        found->scan = read_config_folder(options->folder, options->max_file_bytes);
        if (found->scan.changed_while_read || !found->scan.exists) return;
        found->digest = dynamic_config::digest_of(found->scan.bytes);
        found->faults = found->scan.faults;
        found->known = found->digest == last && found->faults.empty();
        if (found->known || !found->faults.empty()) return;
        dynamic_config::Rows rows;
        options->parse_files(found->scan.bytes, rows, found->faults);
        if (found->faults.empty())
          found->checked = dynamic_config::check(rows, found->digest, options->bounds, found->faults);
      },
      [this, found, first] {
        scanning_ = false;
        on_scanned(*found, first);
        schedule_scan();
      });
}

void FileConfigSource::on_scanned(ScanResult& scanned, event_loop::Millis first_event) {
  event_loop::Millis now = loop_.now();
  if (!scanned.scan.exists) {
    if (std::exchange(folder_exists_, false))
      spdlog::warn("files: directory {} is missing or cannot be opened; the active generation stays in use",
                   options_.folder);
    return;
  }
  if (!std::exchange(folder_exists_, true))
    spdlog::info("files: directory {} is available again", options_.folder);
  if (scanned.scan.changed_while_read) {
    ++figures_.disturbed;
    return debouncer_.on_changed_during_scan(now);
  }
  if (scanned.known) return;
  last_digest_ = scanned.digest;
  dynamic_config::ValidationResult result =
      generation_manager_.evaluate(scanned.checked, scanned.digest, scanned.faults, now);
  std::string digest = dynamic_config::digest_text(result.digest);
  persist(result, std::move(scanned.scan.bytes));
  switch (result.verdict) {
    case ValidationOutcome::same:
      return;
    case ValidationOutcome::refused:
      ++figures_.refused;
      for (std::size_t i = 0; i < std::min(result.faults.size(), kMaxLoggedFaults); ++i)
        spdlog::warn("files refused: {}/{}", options_.folder, result.faults[i].text());
      if (result.faults.size() > kMaxLoggedFaults)
        spdlog::warn("files refused: {} further faults", result.faults.size() - kMaxLoggedFaults);
      if (result.may_be_partial) debouncer_.schedule_retry(now);
      return;
    case ValidationOutcome::held:
      ++figures_.held;
      spdlog::warn(
          "files held: generation {}: {}; it needs an operator's approval, the active generation stays in "
          "use",
          digest, result.why);
      return;
    case ValidationOutcome::taken:
      ++figures_.taken;
      figures_.max_apply_time = std::max(figures_.max_apply_time, now - first_event);
      spdlog::info(
          "files taken: generation {} number {}, {} nodes, {} ranges, {:.0f} ms after the first write",
          digest, generation_manager_.number(), generation_manager_.current()->members.size(),
          generation_manager_.current()->map ? generation_manager_.current()->map->size() : 0,
          now - first_event);
      return publish_members();
  }
}

// Members and range map are passed on within one turn of the event loop, so that no query is planned between
// them.
void FileConfigSource::publish_members() {
  event_loop::Millis now = loop_.now();
  router_.update_endpoints(ListKind::complete, generation_manager_.members(now));
  if (generation_manager_.number() != std::exchange(last_number_, generation_manager_.number()))
    if (auto map = generation_manager_.map()) router_.update_ranges(std::move(*map));
  loop_.cancel(removal_timer_);
  if (event_loop::Millis at = generation_manager_.next_removal(); std::isfinite(at))
    removal_timer_ = loop_.run_at(at, [this] {
      removal_timer_ = {};
      publish_members();
    });
}

void FileConfigSource::watch(bool on) {
  // Each call is answered by at least one list; before the first generation that is an empty change.
  if (on && generation_manager_.current()) publish_members();
  if (on && !generation_manager_.current()) router_.update_endpoints(ListKind::changes, {});
}

void FileConfigSource::fetch() { watch(true); }

void FileConfigSource::refresh() {
  debouncer_.on_event(loop_.now());
  schedule_scan();
}

}  // namespace winchhall::dynamic_config
