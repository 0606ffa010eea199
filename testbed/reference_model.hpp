// The reference: what is in the ledger, from a seed alone, so that the right answer to any span of accounts
// is known without any of the code under test.
#pragma once

#include <string>
#include <vector>

#include "aggregator/ranges/types.hpp"

namespace winchhall::testbed {

class ReferenceLedger {
 public:
  ReferenceLedger(std::uint64_t seed, std::size_t accounts);

  std::size_t accounts() const { return keys_.size(); }
  ranges::Key key(std::size_t account) const { return keys_[account]; }
  std::size_t first_from(ranges::Key key) const;  // number of the first account that is not below it

  // What a node answers for a span: the query's own text, then each account with its value, in order.
  std::string rows(const ranges::Span& span, const std::string& text) const;

  // One answer's rows against the reference, account by account.
  struct Comparison {
    std::size_t right = 0, wrong = 0, doubled = 0, missing = 0, foreign = 0;
    bool matches() const { return wrong + doubled + missing + foreign == 0; }
  };
  struct Row {
    ranges::Span span{};
    std::string data{};
  };
  // `missing`: accounts inside a row's span that the row has not. Accounts of no row are the caller's matter:
  // an answer may be less than whole.
  Comparison compare(const std::vector<ranges::Span>& asked, const std::string& text,
                     const std::vector<Row>& rows) const;

 private:
  std::string account_value(std::size_t account) const;
  std::uint64_t seed_;
  std::vector<ranges::Key> keys_;
};

}  // namespace winchhall::testbed
