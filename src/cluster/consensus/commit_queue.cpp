#include "cluster/consensus/commit_queue.hpp"

#include <utility>

namespace winchhall::cluster {

namespace {
constexpr Millis kRecoveryBackoff{100};  // pause before the batches in doubt are written again

std::size_t size_of(const StoreBatch& batch) {
  std::size_t bytes = 0;
  for (const StoreWrite& write : batch) bytes += write.key.size() + (write.value ? write.value->size() : 0);
  return bytes;
}

}  // namespace

CommitQueue::CommitQueue(Runtime& runtime, DurableStore& store) : runtime_(runtime), store_(store) {}

void CommitQueue::commit(StoreBatch batch, std::function<void()> on_durable) {
  const std::size_t bytes = size_of(batch);
  waiting_bytes_ += bytes;
  Entry entry{std::move(batch), std::move(on_durable), bytes};
  if (recovering_) {
    queued_.push_back(std::move(entry));
  } else {
    issue(std::move(entry));
  }
}

void CommitQueue::barrier(std::function<void()> on_durable) {
  if (!recovering_ && outstanding_.empty()) return on_durable();
  commit({}, std::move(on_durable));
}

void CommitQueue::issue(Entry entry) {
  StoreBatch batch = entry.batch;
  outstanding_.push_back(std::move(entry));
  store_.commit(std::move(batch), [this, alive = std::weak_ptr(alive_)](CommitOutcome outcome) {
    if (!alive.expired()) on_committed(outcome);
  });
}

void CommitQueue::on_committed(CommitOutcome outcome) {
  Entry entry = std::move(outstanding_.front());
  outstanding_.pop_front();
  if (outcome == CommitOutcome::failed) recovering_ = true;
  if (!recovering_) {
    waiting_bytes_ -= entry.bytes;
    if (entry.on_durable) entry.on_durable();
    return;
  }
  in_doubt_.push_back(std::move(entry));
  if (outstanding_.empty()) schedule_recovery();
}

void CommitQueue::schedule_recovery() {
  recovery_timer_ = runtime_.after(kRecoveryBackoff, [this] { recover(); });
}

void CommitQueue::recover() {
  recovering_ = false;
  for (Entry& entry : std::exchange(in_doubt_, {})) issue(std::move(entry));
  for (Entry& entry : std::exchange(queued_, {})) issue(std::move(entry));
}

}  // namespace winchhall::cluster
