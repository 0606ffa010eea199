#include "aggregator/membership/quota_reservation.hpp"

#include <algorithm>
#include <stdexcept>

namespace winchhall::membership {
namespace {
// Unanswered requests; beyond that the oldest is dropped, and a loan that answers it is ignored.
constexpr std::size_t kMaxPendingRequests = 64;
}  // namespace

QuotaReservation::QuotaReservation(QuotaReservationSettings settings) : settings_(settings) {
  if (!(settings.bound >= 0) || settings.instances < 1 || !(settings.window > 0) || !(settings.lease > 0) ||
      !(settings.drift >= 0 && settings.drift < 0.5))
    throw std::invalid_argument(
        "quota reservation settings: bound >= 0, instances >= 1, window > 0, lease > 0 and 0 <= drift < 0.5 "
        "required");
}

void QuotaReservation::expire(Millis now) {
  auto over = [now](const Entry& e) { return e.until <= now; };
  std::erase_if(charged_, over);
  std::erase_if(borrowed_, over);
}

double QuotaReservation::charged() const {
  double sum = 0;
  for (const Entry& e : charged_) sum += e.amount;
  return sum;
}

double QuotaReservation::free(Millis now) {
  expire(now);
  double borrowed = 0;
  for (const Entry& e : borrowed_) borrowed += e.amount;
  return own_share() + borrowed - charged();
}

bool QuotaReservation::spend(Millis now, double amount) {
  if (!(amount >= 0) || amount > free(now)) return false;
  // Longest duration of a real-time window on a fast clock.
  charged_.push_back({now + settings_.window * (1 + settings_.drift), amount});
  return true;
}

ReservationRequest QuotaReservation::request(Millis now, double amount) {
  ReservationRequest a{next_request_++, std::max(0.0, amount)};
  pending_requests_[a.number] = now;
  request_order_.push_back(a.number);
  if (request_order_.size() > kMaxPendingRequests) {
    pending_requests_.erase(request_order_.front());
    request_order_.pop_front();
  }
  return a;
}

std::optional<Reservation> QuotaReservation::lend(Millis now, const ReservationRequest& request) {
  expire(now);
  double lendable = std::min(own_share() - charged(), request.amount);
  if (!(lendable > 0)) return std::nullopt;
  // Charged to the lender until everything the borrower may spend of it has left every window.
  charged_.push_back({now + (settings_.lease + settings_.window) * (1 + settings_.drift), lendable});
  return Reservation{request.number, lendable};
}

double QuotaReservation::take(Millis now, const Reservation& loan) {
  auto it = pending_requests_.find(loan.number);
  if (it == pending_requests_.end()) return 0;  // duplicate, unknown or dropped: never credited twice
  Millis until = it->second + settings_.lease * (1 - settings_.drift);
  pending_requests_.erase(it);
  std::erase(request_order_, loan.number);
  if (now >= until || !(loan.amount > 0)) return 0;
  borrowed_.push_back({until, loan.amount});
  return loan.amount;
}

}  // namespace winchhall::membership
