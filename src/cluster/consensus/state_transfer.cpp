#include "cluster/consensus/state_transfer.hpp"

#include <utility>

#include "cluster/consensus/acceptor.hpp"
#include "cluster/consensus/member_record.hpp"

namespace winchhall::cluster {

namespace {
constexpr Millis kSyncTimeout{700};
}

StateTransfer::StateTransfer(GroupContext& group, Done done)
    : group_(group), done_(std::move(done)), record_(group.record()) {}

void StateTransfer::start() {
  for (const wire::Member& member : record_.members()) {
    if (member.id() != group_.self_id()) ++reading_;
  }
  for (const wire::Member& member : record_.members()) {
    if (member.id() == group_.self_id()) continue;
    auto source = std::make_shared<Source>();
    source->member = member;
    ask(source, std::string());
  }
  if (state_transfer_sources_needed(record_) > reading_) {
    group_.defer([self = shared_from_this()] { self->finish(); });
  }
}

void StateTransfer::ask(const std::shared_ptr<Source>& source, const std::string& after_key) {
  wire::Envelope request;
  request.mutable_state_pull()->set_after_key(after_key);
  group_.call(source->member, std::move(request), kSyncTimeout,
              [self = shared_from_this(), source](const CallResult& result) {
                if (self->done_) self->take(source, result);
              });
}

bool StateTransfer::usable(const Source& source, const wire::StatePage& page) {
  if (page.record().epoch() != record_.epoch())
    group_.on_member_epoch_observed(page.record().epoch(), source.member);
  if (!page.ok() || page.acceptor() != source.member.id()) return false;
  return !source.first_page || page.record().epoch() == record_.epoch();
}

void StateTransfer::take(const std::shared_ptr<Source>& source, const CallResult& result) {
  if (!result.answer || !result.answer->has_state_page()) return source_failed();
  const wire::StatePage& page = result.answer->state_page();
  if (!usable(*source, page)) return source_failed();
  source->first_page = false;
  std::string last_key;
  for (const wire::StateEntry& entry : page.entries()) {
    Acceptor::add_state_entry(entry, source->copy);
    last_key = entry.key();
  }
  if (!page.last() && !last_key.empty()) return ask(source, last_key);
  --reading_;
  copies_.push_back(std::move(source->copy));
  if (copies_.size() >= state_transfer_sources_needed(record_)) finish();
}

void StateTransfer::source_failed() {
  --reading_;
  if (reading_ + copies_.size() >= state_transfer_sources_needed(record_)) return;
  copies_.clear();
  finish();
}

void StateTransfer::finish() {
  const Done done = std::exchange(done_, nullptr);
  if (done) done(std::move(copies_));
}

}  // namespace winchhall::cluster
