#include "cluster/common/rejected_submissions.hpp"

#include <algorithm>

namespace winchhall::cluster {

namespace {

constexpr std::size_t kMaxRejections = 16384;
constexpr std::size_t kMaxOrigins = 4096;

}  // namespace

EarlierRejection RejectedSubmissions::find(const wire::JobRequest& request) const {
  const auto origin = origins_.find(request.origin());
  if (request.origin() == 0 || origin == origins_.end()) return EarlierRejection::none;
  if (origin->second.rejected.contains(request.number())) return EarlierRejection::rejected;
  return request.number() <= origin->second.dropped_up_to ? EarlierRejection::unknown
                                                          : EarlierRejection::none;
}

void RejectedSubmissions::record(const wire::JobRequest& request) {
  if (request.origin() == 0) return;
  if (!origins_.contains(request.origin()) && origins_.size() >= kMaxOrigins) drop_oldest_origin();
  Origin& origin = origins_[request.origin()];
  origin.last_recorded = ++recordings_;
  if (!origin.rejected.insert(request.number()).second) return;
  newest_.emplace_back(request.origin(), request.number());
  if (newest_.size() > kMaxRejections) drop_oldest();
}

void RejectedSubmissions::drop_oldest() {
  const auto [id, number] = newest_.front();
  newest_.pop_front();
  const auto origin = origins_.find(id);
  if (origin == origins_.end()) return;
  origin->second.rejected.erase(number);
  origin->second.dropped_up_to = std::max(origin->second.dropped_up_to, number);
}

void RejectedSubmissions::drop_oldest_origin() {
  const auto oldest =
      std::min_element(origins_.begin(), origins_.end(), [](const auto& left, const auto& right) {
        return left.second.last_recorded < right.second.last_recorded;
      });
  origins_.erase(oldest);
}

wire::JobReply repeated_rejection_reply(EarlierRejection earlier, std::uint32_t retry_after_ms) {
  wire::JobReply reply;
  const bool rejected = earlier == EarlierRejection::rejected;
  reply.set_outcome(rejected ? wire::JOB_REJECTED : wire::JOB_IN_DOUBT);
  if (rejected) reply.set_retry_after_ms(retry_after_ms);
  return reply;
}

}  // namespace winchhall::cluster
