#include "cluster/consensus/shard_list_reader.hpp"

#include <utility>

#include "cluster/consensus/ballot.hpp"
#include "cluster/consensus/member_record.hpp"

namespace winchhall::cluster {

namespace {
constexpr Millis kAnswerTimeout{500};
}

ShardListReader::ShardListReader(GroupContext& group, Done done)
    : group_(group), done_(std::move(done)), record_(group.record()) {}

void ShardListReader::start() {
  if (record_.members().empty()) return finish(std::nullopt);
  wire::Envelope request;
  wire::MemberPing& ping = *request.mutable_member_ping();
  ping.set_from(group_.self_id());
  ping.set_member_epoch(record_.epoch());
  ping.set_wants_shards(true);
  unanswered_ = static_cast<std::size_t>(record_.members_size());
  for (const wire::Member& member : record_.members()) {
    group_.call(member, request, kAnswerTimeout,
                [self = shared_from_this(), member](const CallResult& result) {
                  if (self->done_) self->on_answer(member, result);
                });
  }
}

void ShardListReader::on_answer(const wire::Member& member, const CallResult& result) {
  --unanswered_;
  if (result.answer && result.answer->has_member_ping()) {
    const wire::MemberPing& answer = result.answer->member_ping();
    if (answer.member_epoch() != record_.epoch())
      group_.on_member_epoch_observed(answer.member_epoch(), member);
    if (counts_for_majority(member, answer)) {
      answered_.insert(member.id());
      add(answer);
    }
  }
  if (answered_.size() >= majority(record_)) return finish(std::move(list_));
  if (answered_.size() + unanswered_ < majority(record_)) finish(std::nullopt);
}

bool ShardListReader::counts_for_majority(const wire::Member& member, const wire::MemberPing& answer) const {
  return answer.voting() && answer.from() == member.id() && answer.member_epoch() == record_.epoch();
}

void ShardListReader::add(const wire::MemberPing& answer) {
  list_.shards.insert(answer.shards().begin(), answer.shards().end());
  if (is_lower(list_.accepted_configuration, answer.accepted_configuration()))
    list_.accepted_configuration = answer.accepted_configuration();
}

void ShardListReader::finish(std::optional<ShardList> list) {
  const Done done = std::exchange(done_, nullptr);
  done(std::move(list));
}

}  // namespace winchhall::cluster
