#include "aggregator/app/neighbours.hpp"

#include <spdlog/spdlog.h>
#include <unistd.h>

#include <utility>

namespace winchhall::app {
namespace {
constexpr net::Millis kEvery = 500;    // ms between writings: a third of what those who start wait for
constexpr net::Millis kWaiting = 100;  // ms, of one that waits to be heard of
}  // namespace

Neighbours::Neighbours(net::Loop& loop, const std::string& folder, const std::string& name,
                       std::function<void(takeover::State&)> fill, std::function<void()> changed)
    : loop_(loop),
      folder_(folder),
      own_{.name = name, .who = {static_cast<std::int64_t>(loop.now()), ::getpid()}},
      fill_(std::move(fill)),
      changed_(std::move(changed)),
      pairing_(name, own_.who, loop.now()) {
  if (!folder_.works()) {
    spdlog::warn("no folder '{}' to meet other processes of this name in: this one acts alone", folder);
    return;
  }
  note(folder_.look());
  worker_ = std::make_unique<net::Worker>(loop_);
  timer_ = loop_.at(loop_.now(), [this] { turn(); });
}

Neighbours::~Neighbours() {
  loop_.cancel(timer_);
  worker_.reset();
  folder_.remove(own_.who);
}

void Neighbours::note(const takeover::Folder::Found& found) {
  for (const std::string& file : found.set_aside) spdlog::warn("set aside: {}", file);
  pairing_.saw(found.states, loop_.now());
}

void Neighbours::tell_now() {
  if (!worker_) return;
  again_ = busy_;
  if (!busy_) turn();
}

void Neighbours::turn() {
  loop_.cancel(timer_);
  if (busy_) return;
  busy_ = true;
  ++own_.number;
  own_.heard_of = pairing_.heard_of();
  fill_(own_);
  auto found = std::make_shared<takeover::Folder::Found>();
  std::vector<takeover::Who> expired = pairing_.expired(loop_.now());
  for (const takeover::Who& who : expired)
    spdlog::warn("process {} of this name has said nothing for 10 s: counted as gone", who.text());
  worker_->run(
      [this, found, expired, state = own_] {
        for (const takeover::Who& who : expired) folder_.remove(who);
        folder_.leave(state);
        *found = folder_.look();
      },
      [this, found] {
        busy_ = false;
        auto before = pairing_.heard_of();
        note(*found);
        // Who has just come is told at once that we know of it: it waits for that.
        bool fresh = std::exchange(again_, false) || pairing_.heard_of() != before;
        net::Millis now = loop_.now(), pause = pairing_.may_begin(now) ? kEvery : kWaiting;
        timer_ = loop_.at(now + (fresh ? 0 : pause), [this] { turn(); });
        changed_();
      });
}

}  // namespace winchhall::app
