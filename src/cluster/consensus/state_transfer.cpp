#include "cluster/consensus/state_transfer.hpp"

#include <utility>

#include "cluster/consensus/acceptor.hpp"
#include "cluster/consensus/member_record.hpp"

namespace winchhall::cluster {

namespace {
constexpr Millis kPageTimeout{700};
}

StateTransfer::StateTransfer(GroupContext& group, Done done)
    : group_(group),
      done_(std::move(done)),
      record_(group.record()),
      sources_needed_(state_transfer_sources_needed(record_, group.self_id())) {}

void StateTransfer::start() {
  for (const wire::Member& member : record_.members()) {
    if (member.id() != group_.self_id()) ++sources_reading_;
  }
  for (const wire::Member& member : record_.members()) {
    if (member.id() == group_.self_id()) continue;
    auto source = std::make_shared<Source>();
    source->member = member;
    request_page(source, std::string());
  }
  if (sources_needed_ > sources_reading_) {
    group_.defer([self = shared_from_this()] { self->finish(); });
  }
}

void StateTransfer::request_page(const std::shared_ptr<Source>& source, const std::string& after_key) {
  wire::Envelope request;
  request.mutable_state_pull()->set_after_key(after_key);
  group_.call(source->member, std::move(request), kPageTimeout,
              [self = shared_from_this(), source](const CallResult& result) {
                if (self->done_) self->on_page(source, result);
              });
}

bool StateTransfer::is_usable(const Source& source, const wire::StatePage& page) {
  if (page.record().epoch() != record_.epoch())
    group_.on_member_epoch_observed(page.record().epoch(), source.member);
  if (!page.ok() || page.acceptor() != source.member.id()) return false;
  return !source.first_page || page.record().epoch() == record_.epoch();
}

void StateTransfer::on_page(const std::shared_ptr<Source>& source, const CallResult& result) {
  if (!result.answer || !result.answer->has_state_page()) return on_source_failed();
  const wire::StatePage& page = result.answer->state_page();
  if (!is_usable(*source, page)) return on_source_failed();
  source->first_page = false;
  std::string last_key;
  for (const wire::StateEntry& entry : page.entries()) {
    Acceptor::add_state_entry(entry, source->copy);
    last_key = entry.key();
  }
  if (!page.last() && !last_key.empty()) return request_page(source, last_key);
  --sources_reading_;
  copies_.push_back(std::move(source->copy));
  if (copies_.size() >= sources_needed_) finish();
}

void StateTransfer::on_source_failed() {
  --sources_reading_;
  if (sources_reading_ + copies_.size() >= sources_needed_) return;
  copies_.clear();
  finish();
}

void StateTransfer::finish() {
  const Done done = std::exchange(done_, nullptr);
  if (done) done(std::move(copies_));
}

}  // namespace winchhall::cluster
