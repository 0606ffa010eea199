// Ballots (proposal numbers) of the Paxos registers and their order.
#pragma once

#include <compare>

#include "cluster/wire/cluster.pb.h"

namespace winchhall::cluster {

// Orders by counter, then by proposer. A proposer never uses a ballot twice, and no two proposers share an
// id, so a ballot names one proposal.
inline std::strong_ordering compare_ballots(const wire::Ballot& left, const wire::Ballot& right) {
  const std::strong_ordering counters = left.counter() <=> right.counter();
  return counters != 0 ? counters : left.proposer() <=> right.proposer();
}

inline bool same_ballot(const wire::Ballot& left, const wire::Ballot& right) {
  return compare_ballots(left, right) == 0;
}

inline bool is_lower(const wire::Ballot& left, const wire::Ballot& right) {
  return compare_ballots(left, right) < 0;
}

// True for the ballot of a proposal. Counter 0 means that there is no ballot.
inline bool is_set(const wire::Ballot& ballot) { return ballot.counter() > 0; }

}  // namespace winchhall::cluster
