#include "aggregator/membership/escrow.hpp"

#include <algorithm>
#include <stdexcept>

namespace winchhall::fleet {
namespace {
constexpr std::size_t kAsksKept = 64;  // asks without an answer: older ones are given up, their loans dropped
}

Escrow::Escrow(EscrowSettings settings) : settings_(settings) {
  if (!(settings.bound >= 0) || settings.fleet < 1 || !(settings.window > 0) || !(settings.lease > 0) ||
      !(settings.drift >= 0 && settings.drift < 0.5))
    throw std::invalid_argument(
        "escrow: bound >= 0, fleet >= 1, window > 0, lease > 0, 0 <= drift < 0.5 wanted");
}

void Escrow::expire(Millis now) {
  auto over = [now](const Entry& e) { return e.until <= now; };
  std::erase_if(against_, over);
  std::erase_if(held_, over);
}

double Escrow::against() const {
  double sum = 0;
  for (const Entry& e : against_) sum += e.amount;
  return sum;
}

double Escrow::free(Millis now) {
  expire(now);
  double held = 0;
  for (const Entry& e : held_) held += e.amount;
  return own_share() + held - against();
}

bool Escrow::spend(Millis now, double amount) {
  if (!(amount >= 0) || amount > free(now)) return false;
  // A window of real time is at most this long on a clock that runs fast.
  against_.push_back({now + settings_.window * (1 + settings_.drift), amount});
  return true;
}

Ask Escrow::ask(Millis now, double amount) {
  Ask a{next_ask_++, std::max(0.0, amount)};
  asks_[a.number] = now;
  ask_order_.push_back(a.number);
  if (ask_order_.size() > kAsksKept) {
    asks_.erase(ask_order_.front());
    ask_order_.pop_front();
  }
  return a;
}

std::optional<Loan> Escrow::lend(Millis now, const Ask& ask) {
  expire(now);
  double lendable = std::min(own_share() - against(), ask.amount);
  if (!(lendable > 0)) return std::nullopt;
  // Counted against the lender until whatever the borrower spends with it has left every window.
  against_.push_back({now + (settings_.lease + settings_.window) * (1 + settings_.drift), lendable});
  return Loan{ask.number, lendable};
}

double Escrow::take(Millis now, const Loan& loan) {
  auto it = asks_.find(loan.number);
  if (it == asks_.end()) return 0;  // repeated, unknown or given up: never counted twice
  Millis until = it->second + settings_.lease * (1 - settings_.drift);
  asks_.erase(it);
  std::erase(ask_order_, loan.number);
  if (now >= until || !(loan.amount > 0)) return 0;
  held_.push_back({until, loan.amount});
  return loan.amount;
}

}  // namespace winchhall::fleet
