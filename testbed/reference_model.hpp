// The reference content of the ledger. It depends on the seed only, so the correct answer for any span of
// accounts is known without the code under test.
#pragma once

#include <string>
#include <vector>

#include "aggregator/ranges/types.hpp"

namespace winchhall::testbed {

// Holds the account keys in ascending order; the values are computed from key and seed.
class ReferenceLedger {
 public:
  ReferenceLedger(std::uint64_t seed, std::size_t accounts);

  std::size_t accounts() const { return keys_.size(); }
  ranges::Key key(std::size_t account) const { return keys_[account]; }
  std::size_t first_from(ranges::Key key) const;  // index of the first account with a key of at least `key`

  // The data that a node returns for a span: the query's text, then each account with its value in key order.
  std::string rows(const ranges::Span& span, const std::string& text) const;

  // The accounts of one answer compared with the reference.
  struct Comparison {
    std::size_t right = 0, wrong = 0, doubled = 0, missing = 0, foreign = 0;
    bool matches() const { return wrong + doubled + missing + foreign == 0; }
  };
  struct Row {
    ranges::Span span{};
    std::string data{};
  };
  // `missing` counts accounts that a row lacks inside its own span. Accounts outside all rows are left to the
  // caller, since an answer may be partial.
  Comparison compare(const std::vector<ranges::Span>& asked, const std::string& text,
                     const std::vector<Row>& rows) const;

 private:
  std::string account_value(std::size_t account) const;
  std::uint64_t seed_;
  std::vector<ranges::Key> keys_;
};

}  // namespace winchhall::testbed
