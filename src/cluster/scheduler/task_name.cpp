#include "cluster/scheduler/task_name.hpp"

#include <charconv>
#include <optional>

namespace winchhall::cluster::scheduling {
namespace {

constexpr std::size_t kMaxQuotedCharacters = 64;  // how much of an invalid name an error quotes

// Removes the last dot and the number behind it from `text` and returns the number; none if there is no such
// suffix, in which case `text` is unchanged.
std::optional<std::uint32_t> remove_last_number(std::string_view& text) {
  std::size_t dot = text.rfind('.');
  if (dot == std::string_view::npos) return std::nullopt;
  std::string_view digits = text.substr(dot + 1);
  std::uint32_t number = 0;
  auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), number);
  if (error != std::errc() || end != digits.data() + digits.size()) return std::nullopt;
  text.remove_suffix(text.size() - dot);
  return number;
}

}  // namespace

std::string format_task_name(const TaskName& name) {
  std::string text = name.job;
  for (std::uint32_t part : {name.repeat, name.stage, name.index}) {
    text += '.';
    text += std::to_string(part);
  }
  return text;
}

leaf::result<TaskName> parse_task_name(std::string_view text) {
  std::string_view rest = text;
  auto index = remove_last_number(rest);
  auto stage = index ? remove_last_number(rest) : std::nullopt;
  auto repeat = stage ? remove_last_number(rest) : std::nullopt;
  if (!repeat || rest.empty())
    return leaf::new_error(InvalidInput{
        "heartbeat", "task", std::string(text.substr(0, kMaxQuotedCharacters)), "ID.K.STEP.INDEX"});
  return TaskName{std::string(rest), *repeat, *stage, *index};
}

}  // namespace winchhall::cluster::scheduling
