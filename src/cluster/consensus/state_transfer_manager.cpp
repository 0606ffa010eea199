#include "cluster/consensus/state_transfer_manager.hpp"

#include <algorithm>
#include <utility>

namespace winchhall::cluster {

void StateTransferManager::start_if_needed() {
  if (transfer_ || !membership_.needs_state_transfer()) return;
  const std::uint64_t member_epoch = membership_.record().epoch();
  transfer_ = std::make_shared<StateTransfer>(
      group_, [this, member_epoch](const std::vector<TransferredState>& copies) {
        transfer_.reset();
        on_finished(copies, member_epoch);
        if (copies.empty()) retry_later();
      });
  transfer_->start();
}

void StateTransferManager::stop() {
  retry_timer_.reset();
  if (transfer_) transfer_->cancel();
  transfer_.reset();
}

// Retries quickly at first: right after a newcomer's admission the other members have usually not adopted the
// new record yet.
void StateTransferManager::retry_later() {
  constexpr Millis::rep kInitialBackoffMs = 20;
  constexpr unsigned kMaxDoublings = 4;
  const Millis backoff(kInitialBackoffMs << std::min(failed_transfers_, kMaxDoublings));
  ++failed_transfers_;
  retry_timer_ = group_.runtime().after(backoff, [this] { start_if_needed(); });
}

void StateTransferManager::on_finished(const std::vector<TransferredState>& copies,
                                       std::uint64_t member_epoch) {
  // Copies made under an older record don't count. The next call of start_if_needed() starts a new transfer.
  if (copies.empty() || !membership_.is_newest_epoch(member_epoch)) return;
  membership_.commit_synchronized(acceptor_.merge(copies), member_epoch);
}

void StateTransferManager::handle(const wire::StatePull& pull, const ReplyCallback& reply) const {
  wire::Envelope answer;
  wire::StatePage& page = *answer.mutable_state_page();
  page = acceptor_.state_page(pull.after_key());
  page.set_ok(membership_.status().voting);
  page.set_acceptor(membership_.status().id);
  *page.mutable_record() = membership_.record();
  reply(std::move(answer));
}

}  // namespace winchhall::cluster
