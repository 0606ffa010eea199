// Durations of the shard leases.
//
// Leases as in Gray and Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache
// Consistency" (1989), granted by a majority of acceptors. No synchronized clocks are assumed, only clocks
// whose rates differ by less than the margin below: the holder counts from before its request was sent, an
// acceptor from after the request arrived, so the holder's lease is over first.
#pragma once

#include "cluster/common/runtime.hpp"

namespace winchhall::cluster {

// How long an acceptor keeps a lease, from the arrival of the request, by its own steady clock.
constexpr Millis kLeaseDuration{800};
// How long the holder relies on it, from the sending of the request: 12% less, of which 2% are for clocks
// with different rates and 10% for the time to act after the lease was checked.
constexpr Millis kLeaseUsable{704};
// Interval between the holder's renewals.
constexpr Millis kRenewInterval{160};

}  // namespace winchhall::cluster
