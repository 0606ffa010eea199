#include "aggregator/flight/query_command.hpp"

#include <vector>

#include "aggregator/coordination/query_validation.hpp"
#include "command.pb.h"

namespace winchhall::flight {
namespace {

constexpr std::size_t kMaxTextBytes = 64 * 1024;  // the same limit as for an HTTP body
constexpr double kMicrosPerMilli = 1000;

coordination::QueryPart to_query_part(const QueryCommand::Part& part) {
  coordination::QueryPart result{part.shard(), part.weight(), {}};
  if (part.has_hint_us()) result.hint = part.hint_us() / kMicrosPerMilli;
  return result;
}

}  // namespace

std::variant<coordination::QuerySpec, CallError> read_query_command(const std::string& bytes,
                                                                    const QueryCommandRules& rules) {
  QueryCommand command;
  if (!command.ParseFromString(bytes))
    return CallError{Status::invalid_argument, "the command cannot be read"};
  coordination::QuerySpec query;
  query.query_class = coordination::index_by_name(rules.settings.classes, command.query_class());
  if (query.query_class < 0) return CallError{Status::not_found, "no such class"};
  if (command.text().size() > kMaxTextBytes)
    return CallError{Status::invalid_argument, "the text is too long"};
  query.tenant = coordination::index_by_name(rules.settings.tenants, command.tenant());
  query.is_retry = command.repeat();
  if (command.has_key()) query.key = command.key();
  query.text = command.text();
  for (const auto& part : command.parts()) query.parts.push_back(to_query_part(part));
  for (const auto& span : command.spans()) query.spans.push_back({span.from(), span.to()});
  if (command.has_hint_us()) query.hint = command.hint_us() / kMicrosPerMilli;
  if (!query.spans.empty() && !rules.allows_spans)
    return CallError{Status::invalid_argument,
                     "no directory of ranges is followed here, a query names parts"};
  const std::string fault = coordination::validation_error(query, rules.shard_count);
  if (!fault.empty()) return CallError{Status::invalid_argument, fault};
  return query;
}

}  // namespace winchhall::flight
