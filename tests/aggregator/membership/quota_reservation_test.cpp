// Shares of a quota: single cases, and random histories of several instances with clocks of different rates
// and lost, late and duplicated loans, in which no window may exceed the bound.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "aggregator/membership/quota_reservation.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <queue>
#include <stdexcept>

using namespace winchhall::membership;

namespace {
QuotaReservationSettings settings(double bound, int instances) {
  return {.bound = bound, .instances = instances, .window = 1000, .lease = 2000, .drift = 0.01};
}
}  // namespace

TEST_CASE("an instance spends its own share without a request, and no more in a window") {
  QuotaReservation e(settings(30, 3));
  CHECK(e.own_share() == doctest::Approx(10));
  CHECK(e.spend(0, 6));
  CHECK(e.spend(500, 4));
  CHECK_FALSE(e.spend(900, 1));
  CHECK(e.free(900) == doctest::Approx(0));
  CHECK(e.spend(1011, 6));  // the first amount has left the window, also by a fast clock
}

TEST_CASE("a loan moves a part of the share once, and only for its lease") {
  QuotaReservation lender(settings(20, 2)), borrower(settings(20, 2));
  ReservationRequest a = borrower.request(0, 8);
  auto loan = lender.lend(5, a);
  REQUIRE(loan);
  CHECK(loan->amount == doctest::Approx(8));
  CHECK(lender.free(5) == doctest::Approx(2));
  CHECK(borrower.take(10, *loan) == doctest::Approx(8));
  CHECK(borrower.take(11, *loan) == 0);  // duplicate
  CHECK(borrower.spend(20, 18));
  // The lender gets it back when everything that the borrower could spend of it has left every window.
  CHECK(lender.free(2000) == doctest::Approx(2));
  CHECK(lender.free(3100) == doctest::Approx(10));
}

TEST_CASE(
    "a loan received after its lease is dropped, and the amount is unavailable to both until it expires") {
  QuotaReservation lender(settings(20, 2)), borrower(settings(20, 2));
  ReservationRequest a = borrower.request(0, 5);
  auto loan = lender.lend(1990, a);
  REQUIRE(loan);
  CHECK(borrower.take(1990, *loan) == 0);  // 2000 ms less the drift have passed
  CHECK(borrower.free(1990) == doctest::Approx(10));
  CHECK(lender.free(1990) == doctest::Approx(5));
}

TEST_CASE("only the own share is lent, never a borrowed amount") {
  QuotaReservation a(settings(20, 2)), b(settings(20, 2)), c(settings(20, 2));
  auto loan = a.lend(0, b.request(0, 10));
  REQUIRE(loan);
  CHECK(b.take(1, *loan) == doctest::Approx(10));
  CHECK(b.free(1) == doctest::Approx(20));
  auto again = b.lend(2, c.request(2, 20));
  REQUIRE(again);
  CHECK(again->amount == doctest::Approx(10));
  CHECK_FALSE(a.lend(3, c.request(3, 1)));
}

TEST_CASE("invalid settings are rejected") {
  CHECK_THROWS_AS(QuotaReservation(settings(-1, 3)), std::invalid_argument);
  CHECK_THROWS_AS(QuotaReservation(settings(10, 0)), std::invalid_argument);
  QuotaReservationSettings s = settings(10, 2);
  s.drift = 0.5;
  CHECK_THROWS_AS(QuotaReservation{s}, std::invalid_argument);
}

// Real time is the reference; instance i reads rate[i] * t + offset[i], rates within the drift.
TEST_CASE(
    "in any window of real time all instances spend at most the bound, even if loans are lost or "
    "duplicated") {
  CHECK(rc::check("histories of spends and loans", [] {
    int n = *rc::gen::inRange(2, 7);
    QuotaReservationSettings s = settings(*rc::gen::inRange(1, 50), n);
    std::vector<double> rate, offset;
    std::vector<QuotaReservation> instances;
    for (int i = 0; i < n; ++i) {
      rate.push_back(1 + s.drift * (*rc::gen::inRange(-1000, 1001) / 1000.0));
      offset.push_back(*rc::gen::inRange(0, 100000));
      instances.emplace_back(s);
    }
    auto clock = [&](int i, double t) { return rate[i] * t + offset[i]; };
    struct Message {
      double at;
      int to, from;
      bool is_request;
      ReservationRequest request;
      Reservation loan;
      bool operator>(const Message& o) const { return at > o.at; }
    };
    std::priority_queue<Message, std::vector<Message>, std::greater<>> in_transit;
    std::vector<std::pair<double, double>> spent;  // real time, amount
    double t = 0;
    int steps = *rc::gen::inRange(10, 300);
    for (int step = 0; step < steps; ++step) {
      t += *rc::gen::inRange(0, 400);
      while (!in_transit.empty() && in_transit.top().at <= t) {
        Message m = in_transit.top();
        in_transit.pop();
        double now = clock(m.to, m.at);
        if (!m.is_request) {
          instances[m.to].take(now, m.loan);
          continue;
        }
        if (auto loan = instances[m.to].lend(now, m.request)) {
          int copies = *rc::gen::inRange(0, 3);  // lost, once, or twice
          for (int k = 0; k < copies; ++k)
            in_transit.push({m.at + *rc::gen::inRange(0, 5000), m.from, m.to, false, {}, *loan});
        }
      }
      int i = *rc::gen::inRange(0, n);
      if (*rc::gen::inRange(0, 3) == 0) {
        int j = (i + *rc::gen::inRange(1, n)) % n;
        ReservationRequest a = instances[i].request(clock(i, t), *rc::gen::inRange(1, 30));
        in_transit.push({t + *rc::gen::inRange(0, 3000), j, i, true, a, {}});
      } else {
        double amount = *rc::gen::inRange(1, 20);
        if (instances[i].spend(clock(i, t), amount)) spent.emplace_back(t, amount);
      }
    }
    // The most spent in any half-open window of real time begins at a spend.
    for (std::size_t a = 0; a < spent.size(); ++a) {
      double sum = 0;
      for (std::size_t b = a; b < spent.size() && spent[b].first < spent[a].first + s.window; ++b)
        sum += spent[b].second;
      RC_ASSERT(sum <= s.bound + 1e-9);
    }
  }));
}
