#include "aggregator/app/sibling_processes.hpp"

#include <spdlog/spdlog.h>
#include <unistd.h>

#include <utility>

namespace winchhall::app {
namespace {
constexpr event_loop::Millis kEvery = 500;    // ms between writings: a third of what those who start wait for
constexpr event_loop::Millis kWaiting = 100;  // ms, of one that waits to be heard of
}  // namespace

SiblingProcesses::SiblingProcesses(event_loop::Loop& loop, const std::string& folder, const std::string& name,
                                   std::function<void(hot_restart::State&)> fill,
                                   std::function<void()> changed)
    : loop_(loop),
      folder_(folder),
      own_{.name = name, .id = {static_cast<std::int64_t>(loop.now()), ::getpid()}},
      fill_(std::move(fill)),
      changed_(std::move(changed)),
      registry_(name, own_.id, loop.now()) {
  if (!folder_.works()) {
    spdlog::warn("no folder '{}' to meet other processes of this name in: this one acts alone", folder);
    return;
  }
  apply_scan(folder_.scan());
  worker_ = std::make_unique<event_loop::Worker>(loop_);
  timer_ = loop_.run_at(loop_.now(), [this] { turn(); });
}

SiblingProcesses::~SiblingProcesses() {
  loop_.cancel(timer_);
  worker_.reset();
  folder_.remove(own_.id);
}

void SiblingProcesses::apply_scan(const hot_restart::StateFolder::FolderScan& found) {
  for (const std::string& file : found.set_aside) spdlog::warn("set aside: {}", file);
  registry_.saw(found.states, loop_.now());
}

void SiblingProcesses::publish_now() {
  if (!worker_) return;
  again_ = busy_;
  if (!busy_) turn();
}

void SiblingProcesses::turn() {
  loop_.cancel(timer_);
  if (busy_) return;
  busy_ = true;
  ++own_.number;
  own_.known_processes = registry_.known_processes();
  fill_(own_);
  auto found = std::make_shared<hot_restart::StateFolder::FolderScan>();
  std::vector<hot_restart::ProcessId> expired = registry_.expired(loop_.now());
  for (const hot_restart::ProcessId& who : expired)
    spdlog::warn("process {} of this name has said nothing for 10 s: counted as gone", who.text());
  worker_->run(
      [this, found, expired, state = own_] {
        for (const hot_restart::ProcessId& who : expired) folder_.remove(who);
        folder_.leave(state);
        *found = folder_.scan();
      },
      [this, found] {
        busy_ = false;
        auto before = registry_.known_processes();
        apply_scan(*found);
        // Who has just come is told at once that we know of it: it waits for that.
        bool is_new = std::exchange(again_, false) || registry_.known_processes() != before;
        event_loop::Millis now = loop_.now(), interval = registry_.may_begin(now) ? kEvery : kWaiting;
        timer_ = loop_.run_at(now + (is_new ? 0 : interval), [this] { turn(); });
        changed_();
      });
}

}  // namespace winchhall::app
