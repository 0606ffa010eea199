#include "cluster/consensus/quorum_register_client.hpp"

#include <algorithm>
#include <utility>

#include "cluster/consensus/ballot.hpp"

namespace winchhall::cluster {

namespace {

constexpr Millis::rep kFirstPauseMs = 10;
constexpr Millis::rep kLongestPauseMs = 160;

}  // namespace

QuorumRegisterClient::QuorumRegisterClient(GroupContext& group, std::uint64_t proposer,
                                           ChosenListener on_chosen)
    : group_(group), proposer_(proposer), on_chosen_(std::move(on_chosen)) {}

QuorumRegisterClient::~QuorumRegisterClient() {
  for (auto& [key, entry] : registers_) cancel_attempt(entry);
}

void QuorumRegisterClient::update(const std::string& key, RegisterChange change, Millis timeout,
                                  std::function<void(std::optional<RegisterValue>)> done) {
  auto update = std::make_shared<Update>();
  update->change = std::move(change);
  update->done = std::move(done);
  update->deadline = group_.runtime().after(
      timeout, [this, key, waiting = std::weak_ptr(update)] { expire(key, waiting.lock()); });
  Register& entry = registers_[key];
  entry.updates.push_back(update);
  if (entry.updates.size() == 1) start_attempt(key);
}

void QuorumRegisterClient::note_chosen(const std::string& key, const RegisterValue& value) {
  Register& entry = registers_[key];
  if (is_lower(entry.known.ballot, value.ballot)) entry.known = value;
}

void QuorumRegisterClient::drop(const std::function<bool(const std::string& key)>& unneeded) {
  std::erase_if(registers_, [&](const auto& entry) {
    const Register& idle = entry.second;
    return idle.updates.empty() && !idle.attempt && !idle.retry && unneeded(entry.first);
  });
}

void QuorumRegisterClient::start_attempt(const std::string& key) {
  Register& entry = registers_[key];
  entry.retry.reset();
  if (entry.updates.empty()) return;
  if (group_.record().epoch() == 0) return retry_later(key);
  wire::Ballot ballot;
  ballot.set_counter(std::max(entry.highest_counter, entry.known.ballot.counter()) + 1);
  ballot.set_proposer(proposer_);
  entry.highest_counter = ballot.counter();
  entry.attempt = std::make_shared<RegisterAttempt>(
      group_, key, ballot, entry.known, entry.updates.front()->change,
      [this, key](const AttemptResult& result) { attempt_ended(key, result); });
  entry.attempt->start();
}

void QuorumRegisterClient::attempt_ended(const std::string& key, const AttemptResult& result) {
  Register& entry = registers_[key];
  entry.highest_counter = std::max(entry.highest_counter, entry.attempt->highest_counter());
  entry.attempt.reset();
  if (result.outcome != AttemptOutcome::chosen) return retry_later(key);
  entry.failures = 0;
  note_chosen(key, result.value);
  on_chosen_(key, result.value, result.newly_chosen);
  complete_first(key, result.value);
}

void QuorumRegisterClient::retry_later(const std::string& key) {
  Register& entry = registers_[key];
  const unsigned doublings = std::min(entry.failures, 4U);
  ++entry.failures;
  const Millis::rep longest = std::min(kFirstPauseMs << doublings, kLongestPauseMs);
  const Millis pause(
      1 + static_cast<Millis::rep>(group_.runtime().random() % static_cast<std::uint64_t>(longest)));
  entry.retry = group_.runtime().after(pause, [this, key] { start_attempt(key); });
}

void QuorumRegisterClient::complete_first(const std::string& key, const RegisterValue& value) {
  Register& entry = registers_[key];
  const std::shared_ptr<Update> update = entry.updates.front();
  entry.updates.pop_front();
  update->deadline.reset();
  if (!entry.updates.empty()) start_attempt(key);
  update->done(value);
}

void QuorumRegisterClient::expire(const std::string& key, const std::shared_ptr<Update>& update) {
  Register& entry = registers_[key];
  const auto found = std::find(entry.updates.begin(), entry.updates.end(), update);
  if (!update || found == entry.updates.end()) return;
  const bool under_way = found == entry.updates.begin();
  entry.updates.erase(found);
  if (under_way) {
    cancel_attempt(entry);
    entry.retry.reset();
    start_attempt(key);
  }
  update->done(std::nullopt);
}

void QuorumRegisterClient::cancel_attempt(Register& entry) {
  if (!entry.attempt) return;
  entry.highest_counter = std::max(entry.highest_counter, entry.attempt->highest_counter());
  entry.attempt->cancel();
  entry.attempt.reset();
}

}  // namespace winchhall::cluster
