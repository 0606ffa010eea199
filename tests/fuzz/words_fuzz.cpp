// Any text as a range directory's update or a node's denial: reading must not crash, and an update must be
// applied completely or rejected with a reason.
#include <cstdint>
#include <cstdlib>

#include "aggregator/http/range_protocol.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace winchhall;
  std::string text(reinterpret_cast<const char*>(data), size);
  std::string fault;
  http::read_denial(text);
  auto update = http::read_update(text, fault);
  if (!update) {
    if (fault.empty()) std::abort();
    return 0;
  }
  ranges::Follower follower(1000);
  ranges::Update first;
  first.revision = {1, 1};
  first.complete = true;
  first.ranges.push_back(
      {0, {0, ranges::kKeyEnd}, 1, std::make_shared<const ranges::Holders>(ranges::Holders{{"a"}})});
  follower.apply_update(first, 0);
  auto before = follower.map().revision();
  auto result = follower.apply_update(*update, 1);
  if (result != ranges::UpdateResult::applied && follower.map().revision() != before) std::abort();
  std::string why;
  if (!ranges::RangeMap::build({1, 1}, follower.map().all(), why)) std::abort();
  return 0;
}
