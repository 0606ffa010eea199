// The record of rejected submissions: its size is limited, and it never reports a recorded message of a held
// origin as not rejected.
#include "cluster/common/rejected_submissions.hpp"

#include <catch2/catch.hpp>
#include <random>

using namespace winchhall::cluster;

namespace {

wire::JobRequest message(std::uint64_t origin, std::uint64_t number) {
  wire::JobRequest request;
  request.set_origin(origin);
  request.set_number(number);
  return request;
}

}  // namespace

TEST_CASE("a rejected message is recognised, others are not") {
  RejectedSubmissions rejected;
  rejected.record(message(7, 3));
  CHECK(rejected.find(message(7, 3)) == EarlierRejection::rejected);
  CHECK(rejected.find(message(7, 2)) == EarlierRejection::none);
  CHECK(rejected.find(message(7, 4)) == EarlierRejection::none);
  CHECK(rejected.find(message(8, 3)) == EarlierRejection::none);
}

TEST_CASE("a message without an origin is neither recorded nor recognised") {
  RejectedSubmissions rejected;
  rejected.record(message(0, 3));
  CHECK(rejected.find(message(0, 3)) == EarlierRejection::none);
  CHECK(rejected.size() == 0);
}

TEST_CASE("a rejection dropped because of the size limit is reported as unknown, not as none") {
  RejectedSubmissions rejected;
  for (std::uint64_t number = 1; number <= 20000; ++number) rejected.record(message(7, number));
  CHECK(rejected.size() == 16384);
  CHECK(rejected.find(message(7, 1)) == EarlierRejection::unknown);
  CHECK(rejected.find(message(7, 20000 - 16384)) == EarlierRejection::unknown);
  CHECK(rejected.find(message(7, 20000 - 16383)) == EarlierRejection::rejected);
  CHECK(rejected.find(message(7, 20001)) == EarlierRejection::none);
}

TEST_CASE("the number of origins is limited: the one with the oldest last rejection is dropped") {
  RejectedSubmissions rejected;
  for (std::uint64_t origin = 1; origin <= 4097; ++origin) rejected.record(message(origin, 1));
  CHECK(rejected.find(message(1, 1)) == EarlierRejection::none);
  CHECK(rejected.find(message(2, 1)) == EarlierRejection::rejected);
  CHECK(rejected.find(message(4097, 1)) == EarlierRejection::rejected);
}

TEST_CASE("no recorded message of an origin is ever reported as not rejected") {
  std::mt19937_64 generator(20261202);
  RejectedSubmissions rejected;
  std::set<std::pair<std::uint64_t, std::uint64_t>> recorded;
  for (std::uint64_t step = 1; step <= 40000; ++step) {
    const std::uint64_t origin = 1 + generator() % 5;
    const std::uint64_t late = generator() % 50;
    const std::uint64_t number = step > late ? step - late : step;
    rejected.record(message(origin, number));
    recorded.insert({origin, number});
    CHECK(rejected.size() <= 16384);
  }
  for (const auto& [origin, number] : recorded)
    CHECK(rejected.find(message(origin, number)) != EarlierRejection::none);
}
