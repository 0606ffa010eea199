// Query classes across settings changes. An index stands for one version of a class, not for its name: open
// queries keep the index, and so the rules, that they arrived under; new queries get the latest. No I/O; not
// thread-safe.
#pragma once

#include <string>
#include <vector>

#include "winchhall/coordinator.hpp"

namespace winchhall::coordination {

// Assigns indices to class versions and counts the open queries of each.
class ClassRegistry {
 public:
  explicit ClassRegistry(std::vector<winchhall::ClassSettings> classes);

  // The result of change().
  struct Change {
    std::vector<winchhall::ClassSettings> classes{};  // by index; an empty name: used by open queries only
    std::vector<int> from{};                          // by index: the old index whose statistics apply, or -1
  };
  // Replaces the classes. Unchanged classes keep their index; changed and new ones get an index that no open
  // query refers to. Indices of removed classes stay valid for their open queries.
  Change change(const std::vector<winchhall::ClassSettings>& next);

  // Counts an open query of the class at `index`; each opened() needs one closed().
  void opened(int index) { ++open_[static_cast<std::size_t>(index)]; }
  void closed(int index) { --open_[static_cast<std::size_t>(index)]; }
  // Number of indices, including unused ones and those that only open queries refer to.
  std::size_t size() const { return classes_.size(); }
  // The class's name, also for a class that only open queries still use.
  const std::string& name(int index) const { return names_[static_cast<std::size_t>(index)]; }

 private:
  std::vector<winchhall::ClassSettings> classes_;
  std::vector<std::string> names_;
  std::vector<int> open_;  // open queries, by class index
};

// The stricter of the old and the new value of each rule of a class, for the time in which clients may use
// either version.
winchhall::ClassSettings strictest_of(const winchhall::ClassSettings& old,
                                      const winchhall::ClassSettings& next);
// The same for complete settings. The result has the classes of both: a removed class may still be requested,
// an added one already.
winchhall::Settings strictest_of(const winchhall::Settings& old, const winchhall::Settings& next);

}  // namespace winchhall::coordination
