#include "cluster/scheduler/report_deduplicator.hpp"

#include <catch2/catch.hpp>

namespace winchhall::cluster::scheduling {
namespace {

TEST_CASE("reports older than an accepted one are dropped") {
  ReportDeduplicator reports;
  CHECK(reports.accept(11, 1));
  CHECK_FALSE(reports.accept(11, 1));
  CHECK(reports.accept(11, 5));
  CHECK_FALSE(reports.accept(11, 4));
  CHECK(reports.accept(12, 1));
  CHECK_FALSE(reports.accept(11, 6));
  CHECK_FALSE(reports.accept(11, 8));
  CHECK(reports.accept(11, 9));
  CHECK(reports.accept(12, 5));
}

}  // namespace
}  // namespace winchhall::cluster::scheduling
