#include "cluster/agent/configuration_watch_server.hpp"

#include <algorithm>

#include "cluster/config/configuration_json.hpp"

namespace winchhall::cluster {

ConfigurationWatchServer::ConfigurationWatchServer(Runtime& runtime, const ClusterView& view)
    : runtime_(runtime), view_(view), transfer_server_(view.replica().table()) {}

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

void ConfigurationWatchServer::set_quorum_contact(bool has_contact) {
  if (has_contact == has_quorum_contact_) return;
  has_quorum_contact_ = has_contact;
  answer_all();
}

void ConfigurationWatchServer::set_max_wait(Millis max_wait) {
  max_wait_ = max_wait;
  answer_all();
}

void ConfigurationWatchServer::answer(Polls::iterator poll) {
  wire::Envelope envelope;
  auto& update = *envelope.mutable_configuration_update();
  update.set_version(view_.version());
  update.set_in_touch(has_quorum_contact_);
  // An ingress whose configuration is newer than this process's gets none.
  const bool send_configuration = !poll->fetches && view_.version() > poll->version;
  if (send_configuration) update.set_configuration(configuration_json(*view_.configuration()));
  Polls answered;
  answered.splice(answered.end(), polls_, poll);
  poll->reply(std::move(envelope));
}

void ConfigurationWatchServer::answer_all() {
  while (!polls_.empty()) answer(polls_.begin());
}

}  // namespace winchhall::cluster
