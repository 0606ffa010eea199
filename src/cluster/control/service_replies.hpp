// Envelopes of replies for a service: to job requests of agents, and to reports of worker-agents.
#pragma once

#include "cluster/common/runtime.hpp"
#include "cluster/wire/cluster.pb.h"

namespace winchhall::cluster {

wire::Envelope job_reply_envelope(wire::JobReply reply);
wire::Envelope worker_orders_envelope(wire::WorkerOrders orders);

// This node doesn't lead the service: the request had no effect. `leader`: address of the leader; empty: not
// known.
wire::Envelope job_not_leader_reply(const Address& leader);
// This node lost the lease before the request's changes were known to be durable: they may or may not last.
wire::Envelope job_in_doubt_reply(const Address& leader);
// This node doesn't lead the service: no orders, epoch 0.
wire::Envelope report_not_leader_reply(const Address& leader);

}  // namespace winchhall::cluster
