// Classes of query while settings change: an index stands for one generation of a class, not for its name.
// Queries that are open keep the index that they came under, whose rules stay as they were; new ones get the
// latest. No I/O.
#pragma once

#include <string>
#include <vector>

#include "winchhall/coordinator.hpp"

namespace winchhall::core {

class ClassTable {
 public:
  explicit ClassTable(std::vector<winchhall::ClassSettings> classes);

  // The classes from now on. Those that are as they were keep their index; the others get one that nothing
  // open refers to. `from[i]`: the index whose learned figures hold for i as well, or -1.
  struct Change {
    std::vector<winchhall::ClassSettings> classes{};  // by index; without a name: of open queries only
    std::vector<int> from{};
  };
  Change change(const std::vector<winchhall::ClassSettings>& fresh);

  void opened(int index) { ++open_[static_cast<std::size_t>(index)]; }
  void closed(int index) { --open_[static_cast<std::size_t>(index)]; }
  std::size_t size() const { return classes_.size(); }
  // The class's name, also where only open queries are left of it.
  const std::string& name(int index) const { return names_[static_cast<std::size_t>(index)]; }

 private:
  std::vector<winchhall::ClassSettings> classes_;
  std::vector<std::string> names_;
  std::vector<int> open_;  // queries that came under it and are not over
};

// Rules that hold under both the old and the new settings of a class: for the time in which clients may go by
// either.
winchhall::ClassSettings safe_under_both(const winchhall::ClassSettings& old,
                                         const winchhall::ClassSettings& fresh);
// The same of whole settings. Classes that either has are there: a dropped one may still be asked for, and an
// added one already.
winchhall::Settings safe_under_both(const winchhall::Settings& old, const winchhall::Settings& fresh);

}  // namespace winchhall::core
