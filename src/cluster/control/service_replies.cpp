#include "cluster/control/service_replies.hpp"

#include <utility>

namespace winchhall::cluster {

wire::Envelope job_reply_envelope(wire::JobReply reply) {
  wire::Envelope envelope;
  *envelope.mutable_job_reply() = std::move(reply);
  return envelope;
}

wire::Envelope worker_orders_envelope(wire::WorkerOrders orders) {
  wire::Envelope envelope;
  *envelope.mutable_worker_orders() = std::move(orders);
  return envelope;
}

wire::Envelope job_not_leader_reply(const Address& leader) {
  wire::JobReply reply;
  reply.set_outcome(wire::JOB_NOT_LEADER);
  reply.set_leader_address(leader);
  return job_reply_envelope(std::move(reply));
}

wire::Envelope job_in_doubt_reply(const Address& leader) {
  wire::JobReply reply;
  reply.set_outcome(wire::JOB_IN_DOUBT);
  reply.set_leader_address(leader);
  return job_reply_envelope(std::move(reply));
}

wire::Envelope report_not_leader_reply(const Address& leader) {
  wire::WorkerOrders orders;
  orders.set_leader_address(leader);
  return worker_orders_envelope(std::move(orders));
}

}  // namespace winchhall::cluster
