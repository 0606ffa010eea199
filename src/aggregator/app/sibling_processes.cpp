#include "aggregator/app/sibling_processes.hpp"

#include <spdlog/spdlog.h>
#include <unistd.h>

#include <utility>

namespace winchhall::app {
namespace {
// ms between writes: a third of the time for which a starting process waits for its acknowledgement.
constexpr event_loop::Millis kPublishInterval = 500;
constexpr event_loop::Millis kStartupPublishInterval = 100;  // ms, while this process waits for its own
}  // namespace

SiblingProcesses::SiblingProcesses(event_loop::Loop& loop, const std::string& folder, const std::string& name,
                                   std::function<void(hot_restart::State&)> fill_state,
                                   std::function<void()> on_scanned)
    : loop_(loop),
      folder_(folder),
      own_{.name = name, .id = {static_cast<std::int64_t>(loop.now()), ::getpid()}},
      fill_state_(std::move(fill_state)),
      on_scanned_(std::move(on_scanned)),
      registry_(name, own_.id, loop.now()) {
  if (!folder_.is_usable()) {
    spdlog::warn(
        "cannot use folder '{}' for state files: no hot restart with other processes of this aggregator",
        folder);
    return;
  }
  apply_scan(folder_.scan());
  worker_ = std::make_unique<event_loop::Worker>(loop_);
  timer_ = loop_.run_at(loop_.now(), [this] { publish_and_scan(); });
}

SiblingProcesses::~SiblingProcesses() {
  loop_.cancel(timer_);
  worker_.reset();
  folder_.remove(own_.id);
}

void SiblingProcesses::apply_scan(const hot_restart::StateFolder::FolderScan& scan) {
  for (const std::string& file : scan.set_aside) spdlog::warn("state file set aside: {}", file);
  registry_.update(scan.states, loop_.now());
}

void SiblingProcesses::publish_now() {
  if (!worker_) return;
  publish_again_ = is_publishing_;
  if (!is_publishing_) publish_and_scan();
}

void SiblingProcesses::publish_and_scan() {
  loop_.cancel(timer_);
  if (is_publishing_) return;
  is_publishing_ = true;
  ++own_.sequence_number;
  own_.known_processes = registry_.known_processes();
  fill_state_(own_);
  auto scan = std::make_shared<hot_restart::StateFolder::FolderScan>();
  std::vector<hot_restart::ProcessId> expired = registry_.expired(loop_.now());
  for (const hot_restart::ProcessId& id : expired)
    spdlog::warn("process {} of this aggregator has not updated its state for 10 s: counted as ended",
                 id.text());
  worker_->run(
      [this, scan, expired, state = own_] {
        for (const hot_restart::ProcessId& id : expired) folder_.remove(id);
        folder_.publish(state);
        *scan = folder_.scan();
      },
      [this, scan] {
        is_publishing_ = false;
        auto before = registry_.known_processes();
        apply_scan(*scan);
        // A new process is acknowledged at once, because it waits for that before it serves.
        bool has_news = std::exchange(publish_again_, false) || registry_.known_processes() != before;
        event_loop::Millis now = loop_.now(),
                           interval = registry_.may_serve(now) ? kPublishInterval : kStartupPublishInterval;
        timer_ = loop_.run_at(now + (has_news ? 0 : interval), [this] { publish_and_scan(); });
        on_scanned_();
      });
}

}  // namespace winchhall::app
