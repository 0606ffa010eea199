#include "aggregator/coordination/query_validation.hpp"

#include <algorithm>
#include <cmath>
#include <set>

namespace winchhall::coordination {
std::string validation_error(const QuerySpec& q, int shards) {
  if (!q.spans.empty()) {
    if (!q.parts.empty()) return "both parts and spans";
    if (q.hint && (!std::isfinite(*q.hint) || *q.hint < 0)) return "a hint";
    return ranges::spans_fault(q.spans, kMaxSpans);
  }
  if (q.parts.empty() || q.parts.size() > kMaxParts) return "parts";
  std::set<int> seen;
  double sum = 0;
  for (const QueryPart& p : q.parts) {
    if (p.shard < 0 || (shards > 0 && p.shard >= shards)) return "a part's id";
    if (!seen.insert(p.shard).second) return "the same part twice";
    if (!std::isfinite(p.weight) || p.weight < 0 || p.weight > 1.001) return "a part's share";
    if (p.hint && (!std::isfinite(*p.hint) || *p.hint < 0)) return "a part's hint";
    sum += p.weight;
  }
  // Allows for rounding of each weight. A wrong sum would change what counts as a complete answer.
  return std::abs(sum - 1) > 0.01 ? "shares that do not make a whole" : "";
}

bool is_valid_query_id(const std::string& id) {
  return !id.empty() && id.size() <= 128 &&
         std::all_of(id.begin(), id.end(), [](unsigned char c) { return c > 32 && c < 127; });
}

Millis answer_deadline(Millis arrived, Millis timeout) {
  return arrived + timeout - std::min(kResponseTransitTime, timeout / 4);
}

}  // namespace winchhall::coordination
