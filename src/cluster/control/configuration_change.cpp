#include "cluster/control/configuration_change.hpp"

#include <algorithm>
#include <boost/uuid/name_generator_sha1.hpp>
#include <boost/uuid/uuid.hpp>
#include <charconv>

#include "cluster/control/configuration_snapshots.hpp"

namespace winchhall::cluster {
namespace {

constexpr int kMaxAppliedChanges = 1024;
// Patches of a snapshot that are kept in the record: about a hundred changes of a route.
constexpr std::size_t kMaxPatchBytes = 32u << 10;
constexpr const char* kPutSource = "Config.Put";
constexpr const char* kPatchSource = "Config.Patch";
constexpr const char* kBaseHeader = "X-Winchhall-Base-Version";

const char* source_of(ConfigurationChangeKind kind) {
  return kind == ConfigurationChangeKind::put ? kPutSource : kPatchSource;
}

// 128 bits of a SHA-1 over kind and body: distinct changes have distinct digests.
std::string digest_of(ConfigurationChangeKind kind, const std::string& body) {
  const boost::uuids::name_generator_sha1 names(boost::uuids::ns::oid());
  const boost::uuids::uuid kind_name = names(source_of(kind));
  const boost::uuids::uuid digest = boost::uuids::name_generator_sha1(kind_name)(body);
  return std::string(digest.begin(), digest.end());
}

leaf::result<std::uint64_t> read_base(ConfigurationChangeKind kind, const std::optional<std::string>& text) {
  if (!text) return 0;
  std::uint64_t base = 0;
  const char* const end = text->data() + text->size();
  const std::from_chars_result parsed = std::from_chars(text->data(), end, base);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return leaf::new_error(InvalidInput{source_of(kind), kBaseHeader, *text, "a whole number"});
  }
  return base;
}

bool was_applied(const ConfigurationChange& change, const wire::ConfigurationRecord& record) {
  return std::any_of(record.applied().begin(), record.applied().end(),
                     [&](const wire::AppliedChange& earlier) {
                       return earlier.base() == change.base && earlier.version() == change.version &&
                              earlier.digest() == change.digest;
                     });
}

// True if this change may have been taken so long ago that it is listed no more. What was taken built on an
// older version than the one it made, and made none above the newest of those that were forgotten. The first
// change is never forgotten.
bool may_have_been_forgotten(const ConfigurationChange& change, const wire::ConfigurationRecord& record) {
  return change.base > 0 && change.base < change.version && change.version <= record.forgotten_version();
}

// The first change is kept: an operator that builds on no version is told for certain.
void forget_oldest_changes(wire::ConfigurationRecord& record) {
  constexpr int kFirstForgotten = 1;
  const int surplus = record.applied_size() - kMaxAppliedChanges;
  if (surplus <= 0) return;
  record.set_forgotten_version(record.applied(kFirstForgotten + surplus - 1).version());
  record.mutable_applied()->DeleteSubrange(kFirstForgotten, surplus);
}

void append_applied_change(const ConfigurationChange& change, wire::ConfigurationRecord& record) {
  wire::AppliedChange* const applied = record.add_applied();
  applied->set_base(change.base);
  applied->set_version(change.version);
  applied->set_digest(change.digest);
  forget_oldest_changes(record);
}

leaf::result<void> check_version_rises(const ConfigurationChange& change, std::uint64_t current) {
  if (change.version > current) return {};
  return leaf::new_error(InvalidInput{source_of(change.kind), "version", std::to_string(change.version),
                                      "a version above " + std::to_string(current)});
}

// The text of the configuration that a change makes. A put was checked when it was read, a patch of `base`
// before.
leaf::result<std::string> complete_text(const ConfigurationChange& change, const ConfigurationDocument* base,
                                        const ConfigurationEdit& edit) {
  if (change.kind == ConfigurationChangeKind::put) return change.body;
  ConfigurationDocument next = base == nullptr ? ConfigurationDocument() : *base;
  next.apply(change.patch, edit);
  std::string json = next.json();
  if (base == nullptr) BOOST_LEAF_CHECK(parse_configuration(json, kPatchSource));
  return json;
}

void add_patch(const ConfigurationChange& change, wire::ConfigurationRecord& record) {
  wire::ConfigurationPatchEntry& entry = *record.add_patches();
  entry.set_version(change.version);
  entry.set_body(change.body);
}

// Whether a change is added to the record as a patch of its snapshot, which is written anew once patches grow
// long.
bool fits_as_patch(const ConfigurationChange& change, const wire::ConfigurationRecord& record) {
  if (change.kind == ConfigurationChangeKind::put || !record.has_snapshot()) return false;
  std::size_t bytes = change.body.size();
  for (const wire::ConfigurationPatchEntry& entry : record.patches()) bytes += entry.body().size();
  return bytes <= kMaxPatchBytes;
}

leaf::result<ChangeResult> changed(const ConfigurationChange& change,
                                   const wire::ConfigurationRecord& current,
                                   const ConfigurationDocument* base, bool snapshots) {
  BOOST_LEAF_CHECK(check_version_rises(change, current.version()));
  ConfigurationEdit edit;
  if (change.kind == ConfigurationChangeKind::patch) {
    const ConfigurationDocument nothing;
    BOOST_LEAF_ASSIGN(edit, (base == nullptr ? nothing : *base).check(change.patch, kPatchSource));
  }
  ChangeResult result;
  result.outcome = {ConfigurationOutcomeKind::applied, change.version, {}};
  result.record = current;
  result.record->set_version(change.version);
  append_applied_change(change, *result.record);
  if (fits_as_patch(change, current)) {
    add_patch(change, *result.record);
    return result;
  }
  BOOST_LEAF_AUTO(json, complete_text(change, base, edit));
  result.record->clear_patches();
  result.record->clear_snapshot();
  result.record->clear_json();
  if (!snapshots && !current.has_snapshot()) {
    result.record->set_json(std::move(json));
    return result;
  }
  *result.record->mutable_snapshot() = ConfigurationSnapshots::id_of(change.version, json);
  result.snapshot = std::move(json);
  return result;
}

ChangeResult refused(const InvalidInput& error) {
  return {ConfigurationOutcome{ConfigurationOutcomeKind::invalid, 0, error}, std::nullopt, std::nullopt};
}

}  // namespace

leaf::result<ConfigurationChange> parse_change(ConfigurationChangeKind kind,
                                               const std::optional<std::string>& base, std::string body) {
  ConfigurationChange change;
  change.kind = kind;
  BOOST_LEAF_ASSIGN(change.base, read_base(kind, base));
  if (kind == ConfigurationChangeKind::put) {
    BOOST_LEAF_AUTO(configuration, parse_configuration(body, kPutSource));
    change.version = configuration.version;
  } else {
    BOOST_LEAF_ASSIGN(change.patch, parse_patch(body, kPatchSource));
    change.version = change.patch.version;
  }
  change.digest = digest_of(kind, body);
  change.body = std::move(body);
  return change;
}

std::optional<ConfigurationOutcome> outcome_independent_of_base(const ConfigurationChange& change,
                                                                const wire::ConfigurationRecord& current) {
  if (was_applied(change, current)) {
    return ConfigurationOutcome{ConfigurationOutcomeKind::applied, change.version, {}};
  }
  if (change.base == current.version()) return std::nullopt;
  if (may_have_been_forgotten(change, current)) return ConfigurationOutcome{};
  return ConfigurationOutcome{ConfigurationOutcomeKind::conflict, current.version(), {}};
}

ChangeResult apply_change(const ConfigurationChange& change, const wire::ConfigurationRecord& current,
                          const ConfigurationDocument* base, bool snapshots) {
  return leaf::try_handle_all(
      [&] { return changed(change, current, base, snapshots); },
      [](const InvalidInput& error) { return refused(error); },
      [&] {
        return refused(InvalidInput{source_of(change.kind), "body", "", "a readable change"});
      });
}

}  // namespace winchhall::cluster
