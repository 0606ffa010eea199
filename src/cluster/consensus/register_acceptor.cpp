#include "cluster/consensus/register_acceptor.hpp"

#include <utility>

#include "cluster/consensus/ballot.hpp"

namespace winchhall::cluster {

namespace {

wire::Envelope to_envelope(wire::RegisterPromise answer) {
  wire::Envelope envelope;
  *envelope.mutable_register_promise() = std::move(answer);
  return envelope;
}

wire::Envelope to_envelope(wire::RegisterAccepted answer) {
  wire::Envelope envelope;
  *envelope.mutable_register_accepted() = std::move(answer);
  return envelope;
}

}  // namespace

std::string register_store_key(const std::string& key) { return "register/" + key; }

RegisterAcceptor::RegisterAcceptor(CommitQueue& commit_queue, const MembershipStatus& status,
                                   ChosenListener on_chosen)
    : commit_queue_(commit_queue), status_(status), on_chosen_(std::move(on_chosen)) {}

void RegisterAcceptor::load(const std::string& key, const wire::RegisterState& state) {
  states_[key] = state;
  if (!is_set(state.chosen()) || !same_ballot(state.chosen(), state.accepted())) return;
  chosen_[key] = RegisterValue{state.accepted(), state.value()};
}

void RegisterAcceptor::prepare(const wire::RegisterPrepare& request, const ReplyCallback& reply) {
  wire::RegisterPromise answer;
  answer.set_acceptor(status_.id);
  answer.set_member_epoch(status_.member_epoch);
  if (request.member_epoch() != status_.member_epoch) return reply(to_envelope(std::move(answer)));
  answer.set_voting(status_.voting);
  wire::RegisterState& state = states_[request.key()];
  if (is_lower(request.ballot(), state.promised())) {
    *answer.mutable_highest() = state.promised();
    return reply(to_envelope(std::move(answer)));
  }
  *state.mutable_promised() = request.ballot();
  answer.set_promised(true);
  *answer.mutable_highest() = state.promised();
  *answer.mutable_accepted() = state.accepted();
  if (!same_ballot(state.accepted(), request.known())) answer.set_value(state.value());
  commit_queue_.commit({stored(request.key())}, [reply, answer = std::move(answer)]() mutable {
    reply(to_envelope(std::move(answer)));
  });
}

void RegisterAcceptor::accept(const wire::RegisterAccept& request, const ReplyCallback& reply) {
  wire::RegisterAccepted answer;
  answer.set_acceptor(status_.id);
  answer.set_member_epoch(status_.member_epoch);
  if (request.member_epoch() != status_.member_epoch) return reply(to_envelope(std::move(answer)));
  answer.set_voting(status_.voting);
  wire::RegisterState& state = states_[request.key()];
  if (is_lower(request.ballot(), state.promised())) {
    *answer.mutable_highest() = state.promised();
    return reply(to_envelope(std::move(answer)));
  }
  *state.mutable_promised() = request.ballot();
  *state.mutable_accepted() = request.ballot();
  state.set_value(request.value());
  answer.set_accepted(true);
  *answer.mutable_highest() = request.ballot();
  commit_queue_.commit({stored(request.key())}, [reply, answer = std::move(answer)]() mutable {
    reply(to_envelope(std::move(answer)));
  });
}

void RegisterAcceptor::learn(const std::string& key, const RegisterValue& value) {
  if (!is_set(value.ballot)) return;
  const auto known = chosen_.find(key);
  if (known != chosen_.end() && !is_lower(known->second.ballot, value.ballot)) return;
  chosen_[key] = value;
  wire::RegisterState& state = states_[key];
  if (!is_lower(value.ballot, state.promised())) {
    *state.mutable_promised() = value.ballot;
    *state.mutable_accepted() = value.ballot;
    state.set_value(value.value);
  }
  *state.mutable_chosen() = value.ballot;
  commit_queue_.commit({stored(key)});
  on_chosen_(key, value);
}

void RegisterAcceptor::drop(const std::function<bool(const std::string& key)>& unneeded) {
  StoreBatch batch;
  for (auto state = states_.begin(); state != states_.end();) {
    if (!unneeded(state->first)) {
      ++state;
      continue;
    }
    batch.push_back({register_store_key(state->first), std::nullopt});
    chosen_.erase(state->first);
    state = states_.erase(state);
  }
  if (!batch.empty()) commit_queue_.commit(std::move(batch));
}

std::optional<RegisterValue> RegisterAcceptor::chosen(const std::string& key) const {
  const auto known = chosen_.find(key);
  if (known == chosen_.end()) return std::nullopt;
  return known->second;
}

wire::Ballot RegisterAcceptor::accepted_ballot(const std::string& key) const {
  const auto state = states_.find(key);
  return state == states_.end() ? wire::Ballot() : state->second.accepted();
}

wire::Ballot RegisterAcceptor::unresolved_ballot(const std::string& key) const {
  const auto state = states_.find(key);
  const bool unresolved =
      state != states_.end() && is_lower(state->second.chosen(), state->second.accepted());
  return unresolved ? state->second.accepted() : wire::Ballot();
}

void RegisterAcceptor::merge(const std::string& key, const wire::RegisterState& other, StoreBatch& batch) {
  wire::RegisterState& state = states_[key];
  if (is_lower(state.promised(), other.promised())) *state.mutable_promised() = other.promised();
  if (is_lower(state.accepted(), other.accepted())) {
    *state.mutable_accepted() = other.accepted();
    state.set_value(other.value());
  }
  batch.push_back(stored(key));
}

StoreWrite RegisterAcceptor::stored(const std::string& key) const {
  return {register_store_key(key), states_.at(key).SerializeAsString()};
}

}  // namespace winchhall::cluster
