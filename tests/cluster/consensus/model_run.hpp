// One course of events of an explored world: proposers, a newcomer and what may befall them.
#pragma once

#include "tests/cluster/consensus/model_cluster.hpp"

namespace winchhall::cluster::explore {

inline const std::string kList = "list";
inline const std::string kMembers = "members";

// What may happen beside the delivery of each message once.
struct Bounds {
  unsigned losses = 0;
  unsigned duplicates = 0;
  unsigned crashes = 0;
  unsigned attempts = 1;        // of each proposer
  bool newcomer = false;        // a fourth machine joins while the proposers go on
  bool lost_disk = false;       // a founder is gone for good once the newcomer votes
  std::size_t most_states = 0;  // 0: no limit
};

// One course of events, played choice by choice.
class Course {
 public:
  explicit Course(const Bounds& bounds) : bounds_(bounds) {
    founding_.set_epoch(1);
    founding_.set_largest(3);
    for (std::uint64_t id = 1; id <= 3; ++id) founding_.add_members()->set_id(id);
    for (std::uint64_t id = 1; id <= 3; ++id) world_.add_node(id, true).membership_status.member_epoch = 1;
    for (std::size_t index = 0; index < 2; ++index) {
      world_.view(world_.add_view(11 + index)).adopt(founding_);
      proposers_.push_back(Proposer{});
    }
    if (bounds_.newcomer) {
      world_.add_node(4, false);
      wire::Member newcomer;
      newcomer.set_id(4);
      grown_ = with_member(founding_, newcomer);
      joining_ = world_.add_view(13);
      world_.view(joining_).adopt(founding_);
      copying_ = world_.add_view(4);
      change_members();
    }
    for (std::size_t index = 0; index < proposers_.size(); ++index) propose(index);
  }

  // Number of choices now; 0: nothing more can happen.
  std::size_t choices() { return list_choices().size(); }
  void choose(std::size_t number) {
    const Choice choice = list_choices()[number];
    switch (choice.kind) {
      case Kind::deliver:
        world_.deliver(choice.index);
        break;
      case Kind::lose:
        ++lost_;
        world_.lose(choice.index);
        break;
      case Kind::duplicate:
        ++duplicated_;
        world_.duplicate(choice.index);
        break;
      case Kind::sync:
        world_.node(choice.index).store.sync_all();
        break;
      case Kind::crash:
        ++crashed_;
        world_.node(choice.index).crash();
        break;
      case Kind::adopt:
        adopt_at(choice.index);
        break;
      case Kind::follow:
        world_.view(choice.index).adopt(grown_);
        break;
      case Kind::copy:
        start_copy();
        break;
      case Kind::lose_disk:
        disk_lost_ = true;
        world_.node(choice.index).store.lose_all();
        world_.node(choice.index).lost = true;
        break;
    }
    restart_proposers();
    if (bounds_.crashes == 0) sync_all();
  }

  std::string describe() const {
    std::string text = world_.describe();
    for (const Proposer& proposer : proposers_)
      text += std::to_string(proposer.attempts) + (proposer.busy ? "b" : "-");
    text += std::to_string(lost_) + "," + std::to_string(duplicated_) + "," + std::to_string(crashed_);
    text += grown_chosen_ ? "g" : "-";
    text += std::to_string(copies_) + (copy_started_ ? "c" : "-");
    for (const std::string& value : acknowledged_) text += "/" + value;
    return text;
  }

  // Acknowledged values form one chain, and every quorum that can form now brings the newest one up.
  bool holds() const {
    for (const std::string& value : acknowledged_) {
      const bool chained = newest_.starts_with(value);
      if (!chained) return false;
    }
    const bool founders = quorums_hold(founding_);
    return founders && (!grown_chosen_ || quorums_hold(grown_));
  }
  std::size_t acknowledged() const { return acknowledged_.size(); }

 private:
  enum class Kind { deliver, lose, duplicate, sync, crash, adopt, follow, copy, lose_disk };
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

  std::vector<Choice> list_choices() {
    std::vector<Choice> choices;
    for (std::size_t index = 0; index < world_.messages().size(); ++index) {
      const Message& message = world_.messages()[index];
      choices.push_back({Kind::deliver, index});
      if (lost_ < bounds_.losses && *message.done) choices.push_back({Kind::lose, index});
      if (duplicated_ < bounds_.duplicates) choices.push_back({Kind::duplicate, index});
    }
    for (std::size_t index = 0; index < world_.nodes(); ++index) {
      AcceptorNode& node = world_.node(index);
      if (node.lost) continue;
      if (node.store.has_waiting()) choices.push_back({Kind::sync, index});
      if (node.store.has_waiting() && crashed_ < bounds_.crashes) choices.push_back({Kind::crash, index});
      if (grown_chosen_ && node.membership_status.member_epoch < 2) choices.push_back({Kind::adopt, index});
    }
    if (!grown_chosen_) return choices;
    for (std::size_t index = 0; index < proposers_.size(); ++index) {
      if (!proposers_[index].busy && world_.view(index).record().epoch() < 2)
        choices.push_back({Kind::follow, index});
    }
    const AcceptorNode& newcomer = world_.node(3);
    if (newcomer.membership_status.member_epoch == 2 && copies_ < kMostCopies && !copy_started_)
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
    const std::string mark(1, static_cast<char>('a' + index));
    const RegisterChange append = [mark](const std::string& current) -> std::optional<std::string> {
      if (current.find(mark) != std::string::npos) return std::nullopt;
      return current + mark;
    };
    proposer.highest = ballot.counter();
    proposer.attempt = std::make_shared<RegisterAttempt>(
        world_.view(index), kList, ballot, RegisterValue{}, append,
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
        world_.view(joining_), kMembers, ballot, RegisterValue{},
        [this](const std::string&) { return std::optional(grown_.SerializeAsString()); },
        [this](const AttemptResult& result) { grown_chosen_ = result.outcome == AttemptOutcome::chosen; });
    change_->start();
  }
  // Without a crash it makes no difference when a disk syncs, but that answers wait for it.
  void sync_all() {
    for (std::size_t index = 0; index < world_.nodes(); ++index) world_.node(index).store.sync_all();
  }
  void adopt_at(std::size_t index) { world_.node(index).membership_status.member_epoch = 2; }
  void start_copy() {
    copy_started_ = true;
    ++copies_;
    world_.view(copying_).adopt(grown_);
    copy_ = std::make_shared<StateTransfer>(
        world_.view(copying_), [this](const std::vector<TransferredState>& copies) {
          copy_started_ = !copies.empty();  // else begun again
          if (copies.empty()) return;
          AcceptorNode& newcomer = world_.node(3);
          newcomer.commit_queue->commit(newcomer.acceptor->merge(copies),
                                        [&newcomer] { newcomer.membership_status.voting = true; });
        });
    copy_->start();
  }

  // Every majority of a record whose members vote at its epoch, or may come to, holds what was acknowledged.
  bool quorums_hold(const wire::MemberRecord& record) const {
    std::vector<const AcceptorNode*> voters;
    for (std::size_t index = 0; index < world_.nodes(); ++index) {
      const AcceptorNode& node = const_cast<World&>(world_).node(index);
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

  const Bounds bounds_;
  World world_;
  wire::MemberRecord founding_;
  wire::MemberRecord grown_;
  std::vector<Proposer> proposers_;
  std::size_t joining_ = 0;
  std::size_t copying_ = 0;
  std::shared_ptr<RegisterAttempt> change_;
  std::shared_ptr<StateTransfer> copy_;
  bool grown_chosen_ = false;
  static constexpr unsigned kMostCopies = 2;
  bool copy_started_ = false;
  unsigned copies_ = 0;
  bool disk_lost_ = false;
  unsigned lost_ = 0;
  unsigned duplicated_ = 0;
  unsigned crashed_ = 0;
  std::vector<std::string> acknowledged_;
  std::string newest_;
};

}  // namespace winchhall::cluster::explore
