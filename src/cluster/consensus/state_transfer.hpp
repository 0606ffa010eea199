// Copies the state of enough other members to a newcomer, so that it may vote.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cluster/consensus/group_context.hpp"
#include "cluster/consensus/transferred_state.hpp"

namespace winchhall::cluster {

// One attempt to read the state of `state_transfer_sources_needed` voting members (see member_record.hpp),
// page by page and from all members concurrently. A copy counts if the source knew this node's member record
// when it sent the first page: from then on it rejects requests of older proposers. Keeps itself alive until
// it has ended.
class StateTransfer : public std::enable_shared_from_this<StateTransfer> {
 public:
  // Called once, unless cancelled. Empty: not enough members answered under this node's member epoch.
  using Done = std::function<void(std::vector<TransferredState> copies)>;

  // `group` must outlive the transfer or drop its calls' answers.
  StateTransfer(GroupContext& group, Done done);

  void start();
  // Ends the transfer without calling `done`.
  void cancel() { done_ = nullptr; }

 private:
  struct Source {
    wire::Member member;
    TransferredState copy;
    bool first_page = true;
  };

  void request_page(const std::shared_ptr<Source>& source, const std::string& after_key);
  void on_page(const std::shared_ptr<Source>& source, const CallResult& result);
  // True if the page counts: sent by the requested member, which votes and, at the first page, knows the same
  // record.
  bool is_usable(const Source& source, const wire::StatePage& page);
  void on_source_failed();
  void finish();

  GroupContext& group_;
  Done done_;  // null: ended
  const wire::MemberRecord record_;
  const std::size_t sources_needed_;
  std::size_t sources_reading_ = 0;  // sources whose pages are still being read
  std::vector<TransferredState> copies_;
};

}  // namespace winchhall::cluster
