#include "placement/least_cost.hpp"

#include <catch2/catch.hpp>
#include <map>
#include <random>

namespace winchhall::placement {
namespace {

TEST_CASE("the candidate with the least cost is kept and ties are broken evenly") {
  std::mt19937_64 random(7);
  std::map<int, int> kept;
  for (int i = 0; i < 3000; ++i) {
    LeastCost<int> choice;
    CHECK(choice.empty());
    choice.offer(1, 5, random);
    choice.offer(2, 3, random);
    choice.offer(3, 3, random);
    choice.offer(4, 3, random);
    choice.offer(5, 1, random, 1);
    ++kept[choice.best()];
  }
  CHECK(kept.size() == 3);
  for (int candidate : {2, 3, 4}) CHECK(kept[candidate] > 850);
}

}  // namespace
}  // namespace winchhall::placement
