#include "cluster/consensus/replica_reader.hpp"

#include <utility>

namespace winchhall::cluster {

namespace {
constexpr Millis kReadTimeout{500};
}

ReplicaReader::ReplicaReader(GroupContext& group, std::string shard, std::uint64_t epoch, wire::Member member,
                             Done done)
    : group_(group),
      shard_(std::move(shard)),
      epoch_(epoch),
      member_(std::move(member)),
      done_(std::move(done)) {}

void ReplicaReader::ask(const std::string& after_key) {
  wire::Envelope request;
  wire::ShardRead& read = *request.mutable_shard_read();
  read.set_shard(shard_);
  read.set_epoch(epoch_);
  read.set_after_key(after_key);
  read.set_member_epoch(group_.record().epoch());
  group_.call(member_, std::move(request), kReadTimeout,
              [self = shared_from_this()](const CallResult& result) { self->take(result); });
}

void ReplicaReader::take(const CallResult& result) {
  if (!result.answer || !result.answer->has_shard_page()) return done_(std::nullopt);
  const wire::ShardPage& page = result.answer->shard_page();
  if (!page.ok() || !page.voting() || page.acceptor() != member_.id()) return done_(std::nullopt);
  // The base as of the first page: what a replica holds only grows.
  if (std::exchange(first_page_, false)) replica_.state.set_base(page.base());
  std::string last_key;
  for (const wire::ShardRecord& record : page.records()) {
    last_key = record.key();
    replica_.records[last_key] = record;
  }
  if (page.last() || last_key.empty()) return done_(std::move(replica_));
  ask(last_key);
}

}  // namespace winchhall::cluster
