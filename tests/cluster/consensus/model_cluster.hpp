// A model of acceptors and proposers for explicit-state exploration: the real classes on a runtime and disks
// whose steps the exploration chooses (which message arrives, is lost or duplicated, which disk syncs, which
// node crashes). A run is a list of choices and can be repeated, so that all runs up to a bound can be
// explored.
#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cluster/consensus/acceptor.hpp"
#include "cluster/consensus/ballot.hpp"
#include "cluster/consensus/group_context.hpp"
#include "cluster/consensus/member_record.hpp"
#include "cluster/consensus/register_attempt.hpp"
#include "cluster/consensus/state_transfer.hpp"

namespace winchhall::cluster::exploration {

// A runtime whose time does not advance. Timers never fire, and calls are ignored.
class FrozenRuntime : public Runtime {
 public:
  TimePoint now() const override { return TimePoint(std::chrono::seconds(1)); }
  std::int64_t wall_clock_ms() const override { return 1; }
  [[nodiscard]] std::unique_ptr<Timer> after(Millis, std::function<void()>) override {
    return std::make_unique<Timer>();
  }
  void call(const Address&, wire::Envelope, Millis, std::function<void(CallResult)>) override {}
  std::uint64_t random() override { return 4; }
};

// A disk that syncs only on request.
class ManualSyncStore : public DurableStore {
 public:
  void commit(StoreBatch batch, std::function<void(CommitOutcome)> done) override {
    waiting_.push_back({std::move(batch), std::move(done)});
  }
  void load(const std::function<void(std::string_view, std::string_view)>& visit) override {
    for (const auto& [key, value] : durable_) visit(key, value);
  }
  bool has_waiting() const { return !waiting_.empty(); }
  std::size_t waiting() const { return waiting_.size(); }
  void sync_all() {
    while (!waiting_.empty()) {
      const Waiting next = std::move(waiting_.front());
      waiting_.pop_front();
      for (const StoreWrite& write : next.batch) {
        if (write.value) {
          durable_[write.key] = *write.value;
        } else {
          durable_.erase(write.key);
        }
      }
      next.done(CommitOutcome::durable);
    }
  }
  void lose_unsynced() { waiting_.clear(); }
  void lose_all() {
    waiting_.clear();
    durable_.clear();
  }
  void describe(std::string& text) const {
    for (const auto& [key, value] : durable_) text += key + "=" + value + ";";
    for (const Waiting& batch : waiting_) {
      for (const StoreWrite& write : batch.batch)
        text += "w" + write.key + "=" + write.value.value_or("") + ";";
    }
  }

 private:
  struct Waiting {
    StoreBatch batch;
    std::function<void(CommitOutcome)> done;
  };
  std::map<std::string, std::string> durable_;
  std::deque<Waiting> waiting_;
};

// One machine: its disk, its membership status, and a real acceptor that uses them.
struct AcceptorNode {
  AcceptorNode(Runtime& used_runtime, std::uint64_t id, bool voting) : runtime(used_runtime) {
    membership_status.id = id;
    membership_status.voting = voting;
    boot();
  }
  void boot() {
    acceptor.reset();
    commit_queue = std::make_unique<CommitQueue>(runtime, store);
    acceptor = std::make_unique<Acceptor>(runtime, *commit_queue, membership_status,
                                          [](const std::string&, const RegisterValue&) {});
    store.load([this](std::string_view key, std::string_view value) { acceptor->load(key, value); });
  }
  // Loses all unsynced batches and restarts the acceptor.
  void crash() {
    store.lose_unsynced();
    boot();
  }
  void describe(std::string& text) const {
    text += std::to_string(membership_status.member_epoch) + (membership_status.voting ? "v" : "-") +
            (lost ? "x" : "");
    for (const auto& [key, state] : acceptor->registers().states()) text += key + state.SerializeAsString();
    store.describe(text);
    text += "|";
  }

  Runtime& runtime;
  ManualSyncStore store;
  MembershipStatus membership_status;
  std::unique_ptr<CommitQueue> commit_queue;
  std::unique_ptr<Acceptor> acceptor;
  bool lost = false;  // failed permanently, with its disk
};

// A request or its answer in flight. It is delivered to the incarnation of the acceptor that runs at that
// time, since messages may be delayed.
struct Message {
  std::size_t caller = 0;  // context that called
  std::size_t node = 0;    // acceptor called
  bool answer = false;
  unsigned broadcast = 0;  // of the caller; answers to an earlier one change nothing
  wire::Envelope body;
  std::shared_ptr<std::function<void(CallResult)>> done;
};

class ModelCluster;

// The group context of one proposer, or of a newcomer that copies state.
class ModelGroupContext : public GroupContext {
 public:
  ModelGroupContext(ModelCluster& cluster, std::size_t index, std::uint64_t self)
      : cluster_(cluster), index_(index), self_(self) {}

  Runtime& runtime() override { return runtime_; }
  const wire::MemberRecord& record() const override { return record_; }
  std::uint64_t self_id() const override { return self_; }
  std::uint64_t next_unique_id() override { return 100 + self_; }
  bool voting() const override { return true; }
  bool has_quorum_contact() const override { return true; }
  std::vector<std::uint64_t> reachable_voters() const override { return {}; }
  void call(const wire::Member& member, wire::Envelope request, Millis,
            std::function<void(CallResult)> done) override;
  void defer(std::function<void()> action) override { action(); }
  void on_member_epoch_observed(std::uint64_t, const wire::Member&) override {}
  std::optional<wire::ShardLeader> lease_in_force(const std::string&) const override { return std::nullopt; }
  std::size_t own_lease_count() const override { return 0; }
  std::uint64_t promised_epoch(const std::string&) const override { return 0; }

  void adopt(const wire::MemberRecord& record) { record_ = record; }

 private:
  ModelCluster& cluster_;
  const std::size_t index_;
  const std::uint64_t self_;
  FrozenRuntime runtime_;
  wire::MemberRecord record_;
};

// The machines and the messages in flight between them.
class ModelCluster {
 public:
  AcceptorNode& add_node(std::uint64_t id, bool voting) {
    nodes_.push_back(std::make_unique<AcceptorNode>(runtime_, id, voting));
    return *nodes_.back();
  }
  std::size_t add_context(std::uint64_t self) {
    contexts_.push_back(std::make_unique<ModelGroupContext>(*this, contexts_.size(), self));
    received_.emplace_back();
    last_broadcast_.emplace_back();
    broadcasts_.push_back(0);
    return contexts_.size() - 1;
  }
  ModelGroupContext& context(std::size_t index) { return *contexts_[index]; }
  AcceptorNode& node(std::size_t index) { return *nodes_[index]; }
  const AcceptorNode& node(std::size_t index) const { return *nodes_[index]; }
  std::size_t nodes() const { return nodes_.size(); }
  std::vector<Message>& messages() { return messages_; }

  void send(std::size_t caller, std::uint64_t member, wire::Envelope request,
            std::function<void(CallResult)> done) {
    for (std::size_t index = 0; index < nodes_.size(); ++index) {
      if (nodes_[index]->membership_status.id != member) continue;
      messages_.push_back({caller, index, false, broadcasts_[caller], std::move(request),
                           std::make_shared<std::function<void(CallResult)>>(std::move(done))});
      return;
    }
  }

  void deliver(std::size_t index) {
    const Message message = messages_[index];
    messages_.erase(messages_.begin() + static_cast<std::ptrdiff_t>(index));
    if (message.answer) return answer(message);
    AcceptorNode& node = *nodes_[message.node];
    if (node.lost) return;
    const auto reply = [this, message](wire::Envelope body) {
      Message back = message;
      back.answer = true;
      back.body = std::move(body);
      const bool expected = *back.done && back.broadcast == broadcasts_[back.caller];
      if (expected) messages_.push_back(std::move(back));
    };
    if (node.acceptor->handle(message.body, reply)) return;
    if (!message.body.has_state_pull()) return;
    wire::Envelope page;
    *page.mutable_state_page() = node.acceptor->state_page(message.body.state_pull().after_key());
    page.mutable_state_page()->set_ok(node.membership_status.voting);
    page.mutable_state_page()->set_acceptor(node.membership_status.id);
    page.mutable_state_page()->mutable_record()->set_epoch(node.membership_status.member_epoch);
    reply(std::move(page));
  }
  // Loses a message: the caller's call fails as if it had timed out.
  void lose(std::size_t index) {
    const Message message = messages_[index];
    messages_.erase(messages_.begin() + static_cast<std::ptrdiff_t>(index));
    received_[message.caller].push_back({message.node, "lost"});
    complete_call(message, CallResult{});
  }
  void duplicate(std::size_t index) { messages_.push_back(messages_[index]); }

  // Records a broadcast. A proposer's state is determined by its last broadcast and by the answers received
  // since then, regardless of their order.
  void on_broadcast(std::size_t caller, const std::string& text) {
    if (last_broadcast_[caller] == text) return;
    last_broadcast_[caller] = text;
    ++broadcasts_[caller];
    received_[caller].clear();
    std::erase_if(messages_,
                  [caller](const Message& message) { return message.answer && message.caller == caller; });
  }

  // A text that is equal for states that differ only by a permutation of the founders.
  std::string describe() const {
    constexpr std::size_t kFounders = 3;
    std::vector<std::size_t> order(nodes_.size());
    for (std::size_t index = 0; index < order.size(); ++index) order[index] = index;
    std::string least;
    do {
      std::string text = describe(order);
      if (least.empty() || text < least) least = std::move(text);
    } while (std::next_permutation(order.begin(), order.begin() + kFounders));
    return least;
  }

 private:
  // `rank`: place of each machine in the text.
  std::string describe(const std::vector<std::size_t>& rank) const {
    std::vector<std::string> machines(nodes_.size());
    for (std::size_t index = 0; index < nodes_.size(); ++index)
      nodes_[index]->describe(machines[rank[index]]);
    std::string text;
    for (const std::string& machine : machines) text += machine;
    std::vector<std::string> in_flight;
    for (const Message& message : messages_) {
      in_flight.push_back(std::to_string(message.caller) + "/" + std::to_string(rank[message.node]) +
                          (message.answer ? "a" : "r") + (*message.done ? "o" : "c") + content(message.body));
    }
    append_sorted(std::move(in_flight), text);
    for (std::size_t caller = 0; caller < received_.size(); ++caller) {
      text += last_broadcast_[caller];
      std::vector<std::string> received;
      for (const ReceivedAnswer& one : received_[caller])
        received.push_back(std::to_string(rank[one.node]) + one.text);
      append_sorted(std::move(received), text);
    }
    return text;
  }
  static void append_sorted(std::vector<std::string> parts, std::string& text) {
    std::sort(parts.begin(), parts.end());
    for (const std::string& part : parts) text += part + ",";
    text += "|";
  }
  // Without the acceptor's id, which its rank replaces.
  static std::string content(wire::Envelope body) {
    if (body.has_register_promise()) body.mutable_register_promise()->clear_acceptor();
    if (body.has_register_accepted()) body.mutable_register_accepted()->clear_acceptor();
    return body.SerializeAsString();
  }

  void answer(const Message& message) {
    if (!*message.done) return;  // answered already, or too late
    received_[message.caller].push_back({message.node, content(message.body)});
    complete_call(message, CallResult{message.body, CallError::timed_out});
  }
  static void complete_call(const Message& message, CallResult result) {
    if (*message.done) std::exchange(*message.done, nullptr)(std::move(result));
  }

  FrozenRuntime runtime_;
  std::vector<std::unique_ptr<AcceptorNode>> nodes_;
  std::vector<std::unique_ptr<ModelGroupContext>> contexts_;
  std::vector<Message> messages_;
  struct ReceivedAnswer {
    std::size_t node = 0;
    std::string text;
  };
  // By context.
  std::vector<std::vector<ReceivedAnswer>> received_;  // since its last broadcast
  std::vector<std::string> last_broadcast_;
  std::vector<unsigned> broadcasts_;
};

inline void ModelGroupContext::call(const wire::Member& member, wire::Envelope request, Millis,
                                    std::function<void(CallResult)> done) {
  cluster_.on_broadcast(index_, request.SerializeAsString());
  cluster_.send(index_, member.id(), std::move(request), std::move(done));
}

}  // namespace winchhall::cluster::exploration
