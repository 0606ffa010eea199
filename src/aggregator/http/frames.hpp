// The frames that aggregators and leafs exchange.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "aggregator/coordination/request_router.hpp"

namespace winchhall::http {

constexpr std::size_t kLineMost = 4 * 1024;  // an answer's first line
// A value goes into one of our bodies, so no sound frame is longer.
constexpr std::size_t kFrameMost = 64 * 1024 + kLineMost;

struct Frame {
  char type = 0;
  std::string payload{};
};

struct PartAnswer {  // the rest of an `O` frame
  std::string part{};
  int end = 0;
  coordination::Load load{};
  std::string value{};
};

constexpr int kMisdirected =
    421;  // an END of its own for parts of spans: the node has not what was asked for

std::string make_frame(char type, std::string_view payload);
// Takes one frame from the front of `in` where it is whole. Sets `bad` for a length no frame has, and for one
// that can't become any: what comes of it is not waited for, nor held.
std::optional<Frame> take_frame(std::string& in, bool& bad);
std::string part_lines(std::string_view part, int shard, long long wait_ms, std::string_view text);
// The same for a part of a span: the range's id in the shard's place, the interval and the revision in the
// list.
std::string span_lines(std::string_view part, const coordination::AttemptRequest& order, long long wait_ms);
std::optional<PartAnswer> read_answer(const std::string& payload);
coordination::Load read_load(std::string_view report);

}  // namespace winchhall::http
