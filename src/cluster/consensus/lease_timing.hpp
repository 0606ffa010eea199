// Times of the leases.
#pragma once

#include "cluster/common/runtime.hpp"

namespace winchhall::cluster {

// An acceptor keeps a lease for so long from the arrival of the request, by its own steady clock.
constexpr Millis kLeaseDuration{800};
// The holder counts on it from the sending of the request for 12% less: 2% for clocks that run at unlike
// speeds and 10% to act within.
constexpr Millis kLeaseUsable{704};
constexpr Millis kRenewInterval{160};

}  // namespace winchhall::cluster
