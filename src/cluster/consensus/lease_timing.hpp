// Durations of the shard leases.
//
// Leases as in Gray and Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache
// Consistency" (1989), granted by a majority of acceptors. No synchronized clocks are assumed, only clocks
// whose rates differ by less than the margin below: the holder measures from before its request was sent, an
// acceptor from after the request arrived, so the lease expires at the holder first.
#pragma once

#include "cluster/common/runtime.hpp"

namespace winchhall::cluster {

// Duration of a lease at an acceptor, from the arrival of the request, by its own steady clock.
constexpr Millis kLeaseDuration{800};
// Duration of a lease at its holder, from the sending of the request: 12% less, of which 2% are for clocks
// with different rates and 10% for the time between a check of the lease and the action that relies on it.
constexpr Millis kLeaseUsable{704};
// Interval between the holder's renewals.
constexpr Millis kRenewInterval{160};

}  // namespace winchhall::cluster
