#include "cluster/agent/configuration_watch_server.hpp"

#include <algorithm>

namespace winchhall::cluster {

ConfigurationWatchServer::ConfigurationWatchServer(Runtime& runtime, const ClusterView& view)
    : runtime_(runtime), view_(view), differences_(view.replica().table()) {}

void ConfigurationWatchServer::watch(const wire::ConfigurationWatch& watch, const ReplyCallback& reply) {
  polls_.push_back({watch.version(), watch.fetches(), reply, nullptr});
  const auto poll = std::prev(polls_.end());
  const Millis wait = std::min(Millis(watch.wait_ms()), max_wait_);
  if (view_.version() > watch.version() || wait == Millis::zero()) return answer(poll);
  poll->timer = runtime_.after(wait, [this, poll] { answer(poll); });
}

void ConfigurationWatchServer::on_newer_configuration() {
  for (auto next = polls_.begin(); next != polls_.end();) {
    const auto poll = next++;
    if (view_.version() > poll->version) answer(poll);
  }
}

void ConfigurationWatchServer::set_in_touch(bool in_touch) {
  if (in_touch == in_touch_) return;
  in_touch_ = in_touch;
  answer_all();
}

void ConfigurationWatchServer::set_max_wait(Millis longest_wait) {
  max_wait_ = longest_wait;
  answer_all();
}

// An ingress with a newer configuration than this process has is told nothing of the older one.
void ConfigurationWatchServer::answer(Polls::iterator poll) {
  wire::Envelope envelope;
  auto& update = *envelope.mutable_configuration_update();
  update.set_version(view_.version());
  update.set_in_touch(in_touch_);
  const bool sent_whole = !poll->fetches && view_.version() > poll->version;
  if (sent_whole) update.set_configuration(configuration_json(*view_.configuration()));
  Polls answered;
  answered.splice(answered.end(), polls_, poll);
  poll->reply(std::move(envelope));
}

void ConfigurationWatchServer::answer_all() {
  while (!polls_.empty()) answer(polls_.begin());
}

}  // namespace winchhall::cluster
