#include "cluster/scheduler/worker_session_tracker.hpp"

#include <catch2/catch.hpp>

namespace winchhall::cluster::scheduling {
namespace {

TEST_CASE("a session counts once it has confirmed a challenge") {
  WorkerSessionTracker sessions;
  CHECK(sessions.observe({11, 1, 0}, 5) == ReportStatus::unconfirmed);
  CHECK(sessions.challenge(11) == 5);
  CHECK(sessions.observe({11, 2, 4}, 6) == ReportStatus::unconfirmed);
  CHECK(sessions.challenge(11) == 5);
  CHECK(sessions.observe({11, 3, 5}, 6) == ReportStatus::current);
  CHECK(sessions.challenge(11) == 0);
  CHECK(sessions.observe({11, 4, 0}, 6) == ReportStatus::current);
}

TEST_CASE("reports older than the newest one of their session are outdated") {
  WorkerSessionTracker sessions;
  sessions.observe({11, 1, 0}, 1);
  CHECK(sessions.observe({11, 1, 1}, 2) == ReportStatus::outdated);
  CHECK(sessions.observe({11, 5, 1}, 2) == ReportStatus::current);
  CHECK(sessions.observe({11, 5, 1}, 2) == ReportStatus::outdated);
  CHECK(sessions.observe({11, 4, 1}, 2) == ReportStatus::outdated);
}

TEST_CASE("late reports of an ended session don't replace the current one, however many there are") {
  WorkerSessionTracker sessions;
  sessions.observe({11, 1, 0}, 1);
  sessions.observe({11, 2, 1}, 2);
  sessions.observe({12, 1, 0}, 2);
  CHECK(sessions.observe({12, 2, 2}, 3) == ReportStatus::current);
  for (std::uint64_t number = 3; number < 40; ++number)
    CHECK(sessions.observe({11, number, 1}, 3) == ReportStatus::unconfirmed);
  CHECK(sessions.observe({12, 3, 2}, 4) == ReportStatus::current);
}

TEST_CASE("a response to a challenge that preceded the current session does not count") {
  WorkerSessionTracker sessions;
  sessions.observe({11, 1, 0}, 1);
  sessions.observe({12, 1, 0}, 2);
  CHECK(sessions.observe({12, 2, 2}, 3) == ReportStatus::current);
  CHECK(sessions.observe({11, 2, 1}, 3) == ReportStatus::unconfirmed);
  CHECK(sessions.challenge(11) == 3);
}

TEST_CASE("a session is confirmed although reports of many ended ones arrive meanwhile") {
  WorkerSessionTracker sessions;
  Revision last = 0;
  sessions.observe({1, 1, 0}, ++last);
  for (std::uint64_t ended = 100; ended < 120; ++ended) sessions.observe({ended, 1, 0}, ++last);
  sessions.observe({1, 2, 0}, ++last);
  CHECK(sessions.observe({1, 3, sessions.challenge(1)}, ++last) == ReportStatus::current);
}

}  // namespace
}  // namespace winchhall::cluster::scheduling
