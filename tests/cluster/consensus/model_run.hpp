// One run of the model: two proposers, a newcomer, and faults within given bounds.
#pragma once

#include "tests/cluster/consensus/model_cluster.hpp"

namespace winchhall::cluster::exploration {

inline const std::string kList = "list";
inline const std::string kMembers = "members";

// Bounds on the events of a run other than the delivery of each message once.
struct ExplorationBounds {
  unsigned losses = 0;
  unsigned duplicates = 0;
  unsigned crashes = 0;
  unsigned attempts = 1;       // of each proposer
  bool newcomer = false;       // a fourth machine joins while the proposers continue
  bool lost_disk = false;      // a founder fails permanently once the newcomer votes
  std::size_t max_states = 0;  // 0: no limit
};

// One run, advanced choice by choice.
class ModelRun {
 public:
  explicit ModelRun(const ExplorationBounds& bounds) : bounds_(bounds) {
    founding_.set_epoch(1);
    founding_.set_largest(3);
    for (std::uint64_t id = 1; id <= 3; ++id) founding_.add_members()->set_id(id);
    for (std::uint64_t id = 1; id <= 3; ++id) cluster_.add_node(id, true).membership_status.member_epoch = 1;
    for (std::size_t index = 0; index < 2; ++index) {
      cluster_.context(cluster_.add_context(11 + index)).adopt(founding_);
      proposers_.push_back(Proposer{});
    }
    if (bounds_.newcomer) {
      cluster_.add_node(4, false);
      wire::Member newcomer;
      newcomer.set_id(4);
      grown_ = with_member(founding_, newcomer);
      joining_ = cluster_.add_context(13);
      cluster_.context(joining_).adopt(founding_);
      copying_ = cluster_.add_context(4);
      change_members();
    }
    for (std::size_t index = 0; index < proposers_.size(); ++index) propose(index);
  }

  // Number of choices in the current state; 0: the run has ended.
  std::size_t choices() { return enabled_choices().size(); }
  void choose(std::size_t number) {
    const Choice choice = enabled_choices()[number];
    switch (choice.kind) {
      case Kind::deliver:
        cluster_.deliver(choice.index);
        break;
      case Kind::lose:
        ++lost_;
        cluster_.lose(choice.index);
        break;
      case Kind::duplicate:
        ++duplicated_;
        cluster_.duplicate(choice.index);
        break;
      case Kind::sync:
        cluster_.node(choice.index).store.sync_all();
        break;
      case Kind::crash:
        ++crashed_;
        cluster_.node(choice.index).crash();
        break;
      case Kind::adopt:
        adopt_at(choice.index);
        break;
      case Kind::adopt_at_proposer:
        cluster_.context(choice.index).adopt(grown_);
        break;
      case Kind::copy:
        start_copy();
        break;
      case Kind::lose_disk:
        disk_lost_ = true;
        cluster_.node(choice.index).store.lose_all();
        cluster_.node(choice.index).lost = true;
        break;
    }
    restart_proposers();
    if (bounds_.crashes == 0) sync_all();
  }

  std::string describe() const {
    std::string text = cluster_.describe();
    for (const Proposer& proposer : proposers_)
      text += std::to_string(proposer.attempts) + (proposer.busy ? "b" : "-");
    text += std::to_string(lost_) + "," + std::to_string(duplicated_) + "," + std::to_string(crashed_);
    text += grown_chosen_ ? "g" : "-";
    text += std::to_string(copies_) + (copy_started_ ? "c" : "-");
    for (const std::string& value : acknowledged_) text += "/" + value;
    return text;
  }

  // The safety property: acknowledged values form one chain of prefixes, and every quorum that is possible
  // now holds the newest one.
  bool is_safe() const {
    for (const std::string& value : acknowledged_) {
      const bool chained = newest_.starts_with(value);
      if (!chained) return false;
    }
    const bool founders = quorums_hold(founding_);
    return founders && (!grown_chosen_ || quorums_hold(grown_));
  }
  std::size_t acknowledged() const { return acknowledged_.size(); }

 private:
  enum class Kind { deliver, lose, duplicate, sync, crash, adopt, adopt_at_proposer, copy, lose_disk };
  struct Choice {
    Kind kind;
    std::size_t index;
  };
  struct Proposer {
    unsigned attempts = 0;
    bool busy = false;
    std::uint64_t highest = 0;
    std::shared_ptr<RegisterAttempt> attempt;
  };

  std::vector<Choice> enabled_choices() {
    std::vector<Choice> choices;
    for (std::size_t index = 0; index < cluster_.messages().size(); ++index) {
      const Message& message = cluster_.messages()[index];
      choices.push_back({Kind::deliver, index});
      if (lost_ < bounds_.losses && *message.done) choices.push_back({Kind::lose, index});
      if (duplicated_ < bounds_.duplicates) choices.push_back({Kind::duplicate, index});
    }
    for (std::size_t index = 0; index < cluster_.nodes(); ++index) {
      AcceptorNode& node = cluster_.node(index);
      if (node.lost) continue;
      if (node.store.has_waiting()) choices.push_back({Kind::sync, index});
      if (node.store.has_waiting() && crashed_ < bounds_.crashes) choices.push_back({Kind::crash, index});
      if (grown_chosen_ && node.membership_status.member_epoch < 2) choices.push_back({Kind::adopt, index});
    }
    if (!grown_chosen_) return choices;
    for (std::size_t index = 0; index < proposers_.size(); ++index) {
      if (!proposers_[index].busy && cluster_.context(index).record().epoch() < 2)
        choices.push_back({Kind::adopt_at_proposer, index});
    }
    const AcceptorNode& newcomer = cluster_.node(3);
    if (newcomer.membership_status.member_epoch == 2 && copies_ < kMaxCopies && !copy_started_)
      choices.push_back({Kind::copy, 3});
    if (bounds_.lost_disk && !disk_lost_ && newcomer.membership_status.voting)
      choices.push_back({Kind::lose_disk, 0});
    return choices;
  }

  void propose(std::size_t index) {
    Proposer& proposer = proposers_[index];
    if (proposer.busy || proposer.attempts >= bounds_.attempts) return;
    ++proposer.attempts;
    proposer.busy = true;
    wire::Ballot ballot;
    ballot.set_counter(proposer.highest + 1);
    ballot.set_proposer(11 + index);
    const std::string marker(1, static_cast<char>('a' + index));
    const RegisterChange append = [marker](const std::string& current) -> std::optional<std::string> {
      if (current.find(marker) != std::string::npos) return std::nullopt;
      return current + marker;
    };
    proposer.highest = ballot.counter();
    proposer.attempt = std::make_shared<RegisterAttempt>(
        cluster_.context(index), kList, ballot, RegisterValue{}, append,
        [this, index](const AttemptResult& result) {
          Proposer& ended = proposers_[index];
          ended.busy = false;
          ended.highest = std::max(ended.highest, ended.attempt->highest_counter());
          if (result.outcome != AttemptOutcome::chosen) return;
          ended.attempts = bounds_.attempts;
          acknowledge(result.value);
        });
    proposer.attempt->start();
  }
  void restart_proposers() {
    for (std::size_t index = 0; index < proposers_.size(); ++index) propose(index);
  }
  void acknowledge(const RegisterValue& value) {
    acknowledged_.push_back(value.value);
    if (value.value.size() > newest_.size()) newest_ = value.value;
  }

  void change_members() {
    wire::Ballot ballot;
    ballot.set_counter(1);
    ballot.set_proposer(13);
    change_ = std::make_shared<RegisterAttempt>(
        cluster_.context(joining_), kMembers, ballot, RegisterValue{},
        [this](const std::string&) { return std::optional(grown_.SerializeAsString()); },
        [this](const AttemptResult& result) { grown_chosen_ = result.outcome == AttemptOutcome::chosen; });
    change_->start();
  }
  // Without crashes it makes no difference when a disk syncs, except that answers wait for it.
  void sync_all() {
    for (std::size_t index = 0; index < cluster_.nodes(); ++index) cluster_.node(index).store.sync_all();
  }
  void adopt_at(std::size_t index) { cluster_.node(index).membership_status.member_epoch = 2; }
  void start_copy() {
    copy_started_ = true;
    ++copies_;
    cluster_.context(copying_).adopt(grown_);
    copy_ = std::make_shared<StateTransfer>(
        cluster_.context(copying_), [this](const std::vector<TransferredState>& copies) {
          copy_started_ = !copies.empty();  // without copies the transfer may be started again
          if (copies.empty()) return;
          AcceptorNode& newcomer = cluster_.node(3);
          newcomer.commit_queue->commit(newcomer.acceptor->merge(copies),
                                        [&newcomer] { newcomer.membership_status.voting = true; });
        });
    copy_->start();
  }

  // True if every majority of the record's members that vote at its epoch, now or later, holds what was
  // acknowledged.
  bool quorums_hold(const wire::MemberRecord& record) const {
    std::vector<const AcceptorNode*> voters;
    for (std::size_t index = 0; index < cluster_.nodes(); ++index) {
      const AcceptorNode& node = cluster_.node(index);
      const bool may_vote =
          node.membership_status.voting && node.membership_status.member_epoch <= record.epoch();
      if (find_member(record, node.membership_status.id) && may_vote && !node.lost) voters.push_back(&node);
    }
    for (std::size_t set = 0; set < (1u << voters.size()); ++set) {
      if (static_cast<std::size_t>(__builtin_popcountll(set)) < majority(record)) continue;
      if (!quorum_holds(voters, set)) return false;
    }
    return true;
  }
  bool quorum_holds(const std::vector<const AcceptorNode*>& voters, std::size_t set) const {
    wire::RegisterState best;
    for (std::size_t index = 0; index < voters.size(); ++index) {
      if ((set >> index & 1) == 0) continue;
      const auto& states = voters[index]->acceptor->registers().states();
      const auto found = states.find(kList);
      if (found == states.end()) continue;
      const wire::Ballot& accepted = found->second.accepted();
      if (is_lower(best.accepted(), accepted)) best = found->second;
    }
    return best.value().starts_with(newest_);
  }

  const ExplorationBounds bounds_;
  ModelCluster cluster_;
  wire::MemberRecord founding_;
  wire::MemberRecord grown_;
  std::vector<Proposer> proposers_;
  std::size_t joining_ = 0;
  std::size_t copying_ = 0;
  std::shared_ptr<RegisterAttempt> change_;
  std::shared_ptr<StateTransfer> copy_;
  bool grown_chosen_ = false;
  static constexpr unsigned kMaxCopies = 2;
  bool copy_started_ = false;
  unsigned copies_ = 0;
  bool disk_lost_ = false;
  unsigned lost_ = 0;
  unsigned duplicated_ = 0;
  unsigned crashed_ = 0;
  std::vector<std::string> acknowledged_;
  std::string newest_;
};

}  // namespace winchhall::cluster::exploration
