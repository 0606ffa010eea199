// Copies the state of enough other members to a newcomer, so that it may vote (see member_record.hpp).
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "cluster/consensus/group_context.hpp"
#include "cluster/consensus/transferred_state.hpp"

namespace winchhall::cluster {

class StateTransfer : public std::enable_shared_from_this<StateTransfer> {
 public:
  // `done` is called once; empty: not enough members answered at this node's member epoch.
  using Done = std::function<void(std::vector<TransferredState> copies)>;

  StateTransfer(GroupContext& group, Done done);

  void start();
  void cancel() { done_ = nullptr; }
  std::uint64_t member_epoch() const { return record_.epoch(); }

 private:
  struct Source {
    wire::Member member;
    TransferredState copy;
    bool first_page = true;
  };

  void ask(const std::shared_ptr<Source>& source, const std::string& after_key);
  void take(const std::shared_ptr<Source>& source, const CallResult& result);
  // True if the page counts: from the member asked, which votes and, at the first page, knows the same
  // record.
  bool usable(const Source& source, const wire::StatePage& page);
  void source_failed();
  void finish();

  GroupContext& group_;
  Done done_;
  const wire::MemberRecord record_;
  std::size_t reading_ = 0;
  std::vector<TransferredState> copies_;
};

}  // namespace winchhall::cluster
