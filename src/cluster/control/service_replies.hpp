// Builds the replies for a service: to job requests of agents, and to reports of worker-agents.
#pragma once

#include "cluster/common/runtime.hpp"
#include "cluster/wire/cluster.pb.h"

namespace winchhall::cluster {

// Wrap a message into an envelope.
wire::Envelope job_reply_envelope(wire::JobReply reply);
wire::Envelope worker_orders_envelope(wire::WorkerOrders orders);

// In all three replies, `leader` is the address of the service's leader, empty if unknown.

// JOB_NOT_LEADER: this node doesn't lead the service, and the request had no effect.
wire::Envelope job_not_leader_reply(const Address& leader);
// JOB_IN_DOUBT: this node lost the lease before the request's changes were known to be durable, so that they
// may or may not persist.
wire::Envelope job_in_doubt_reply(const Address& leader);
// Reply without orders and with epoch 0: this node doesn't lead the service.
wire::Envelope report_not_leader_reply(const Address& leader);

}  // namespace winchhall::cluster
