#include "testbed/reference_model.hpp"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <set>

#include "testbed/random.hpp"

namespace winchhall::testbed {

using ranges::Key;

ReferenceLedger::ReferenceLedger(std::uint64_t seed, std::size_t accounts) : seed_(seed) {
  Random random(seed, 77);
  Key stride = ranges::kKeyEnd / accounts;
  for (std::size_t i = 0; i < accounts; ++i) keys_.push_back(i * stride + random.below(stride));
}

std::size_t ReferenceLedger::first_from(Key key) const {
  return static_cast<std::size_t>(std::lower_bound(keys_.begin(), keys_.end(), key) - keys_.begin());
}

std::string ReferenceLedger::account_value(std::size_t account) const {
  // The finalizer of SplitMix64 (Steele, Lea, Flood 2014) over key and seed.
  std::uint64_t x = keys_[account] + seed_ * 0x9e3779b97f4a7c15ULL;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  char text[20];
  std::snprintf(text, sizeof text, "%08x", static_cast<unsigned>((x ^ (x >> 31)) & 0xffffffff));
  return text;
}

std::string ReferenceLedger::rows(const ranges::Span& span, const std::string& text) const {
  std::string all = text + "|";
  for (std::size_t i = first_from(span.from); i < keys_.size() && keys_[i] < span.to; ++i)
    all += std::to_string(keys_[i]) + "=" + account_value(i) + ";";
  return all;
}

ReferenceLedger::Comparison ReferenceLedger::compare(const std::vector<ranges::Span>& asked,
                                                     const std::string& text,
                                                     const std::vector<Row>& rows) const {
  Comparison c;
  std::set<std::size_t> seen;
  for (const Row& row : rows) {
    bool inside =
        std::any_of(asked.begin(), asked.end(), [&](const auto& a) { return a.contains(row.span); });
    std::string_view rest = row.data;
    if (!inside || rest.substr(0, text.size() + 1) != text + "|") {
      ++c.foreign;  // outside the query's spans, or made for another query
      continue;
    }
    rest.remove_prefix(text.size() + 1);
    std::size_t expected = first_from(row.span.from);
    while (!rest.empty()) {
      std::size_t equals = rest.find('='), end = rest.find(';');
      Key key = 0;
      if (equals == std::string_view::npos || end == std::string_view::npos || equals > end ||
          std::from_chars(rest.data(), rest.data() + equals, key).ptr != rest.data() + equals) {
        ++c.wrong;
        break;
      }
      std::size_t account = first_from(key);
      bool known = account < keys_.size() && keys_[account] == key && row.span.contains(key);
      for (; expected < account && expected < keys_.size() && known; ++expected) ++c.missing;
      if (!known || rest.substr(equals + 1, end - equals - 1) != account_value(account))
        ++c.wrong;
      else if (!seen.insert(account).second)
        ++c.doubled;
      else
        ++c.right;
      expected = std::max(expected, account + 1);
      rest.remove_prefix(end + 1);
    }
    for (; expected < keys_.size() && keys_[expected] < row.span.to; ++expected) ++c.missing;
  }
  return c;
}

}  // namespace winchhall::testbed
