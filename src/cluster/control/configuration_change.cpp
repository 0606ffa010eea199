#include "cluster/control/configuration_change.hpp"

#include <algorithm>
#include <boost/uuid/name_generator_sha1.hpp>
#include <boost/uuid/uuid.hpp>
#include <charconv>

#include "cluster/config/configuration.hpp"

namespace winchhall::cluster {
namespace {

constexpr int kAppliedChangesKept = 1024;
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
bool may_be_forgotten(const ConfigurationChange& change, const wire::ConfigurationRecord& record) {
  return change.base > 0 && change.base < change.version && change.version <= record.forgotten_version();
}

// The first change is kept: an operator that builds on no version is told for certain.
void forget_oldest(wire::ConfigurationRecord& record) {
  constexpr int kFirstForgotten = 1;
  const int surplus = record.applied_size() - kAppliedChangesKept;
  if (surplus <= 0) return;
  record.set_forgotten_version(record.applied(kFirstForgotten + surplus - 1).version());
  record.mutable_applied()->DeleteSubrange(kFirstForgotten, surplus);
}

void note_applied(const ConfigurationChange& change, wire::ConfigurationRecord& record) {
  wire::AppliedChange* const applied = record.add_applied();
  applied->set_base(change.base);
  applied->set_version(change.version);
  applied->set_digest(change.digest);
  forget_oldest(record);
}

leaf::result<void> check_version_rises(const ConfigurationChange& change, std::uint64_t current) {
  if (change.version > current) return {};
  return leaf::new_error(InvalidInput{source_of(change.kind), "version", std::to_string(change.version),
                                      "a version above " + std::to_string(current)});
}

// The whole configuration that the change makes. A put was checked when it was read.
leaf::result<std::string> changed_json(const ConfigurationChange& change,
                                       const wire::ConfigurationRecord& current) {
  BOOST_LEAF_CHECK(check_version_rises(change, current.version()));
  if (change.kind == ConfigurationChangeKind::put) return change.body;
  const std::string& base = current.json();
  BOOST_LEAF_AUTO(json, patched_json(base.empty() ? "{}" : base, change.patch, kPatchSource));
  BOOST_LEAF_CHECK(parse_configuration(json, kPatchSource));
  return json;
}

ChangeResult unchanged(ConfigurationOutcomeKind kind, std::uint64_t version) {
  return {ConfigurationOutcome{kind, version, {}}, std::nullopt};
}

ChangeResult refused(const InvalidInput& error) {
  return {ConfigurationOutcome{ConfigurationOutcomeKind::invalid, 0, error}, std::nullopt};
}

}  // namespace

leaf::result<ConfigurationChange> read_change(ConfigurationChangeKind kind,
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

ChangeResult apply_change(const ConfigurationChange& change, const wire::ConfigurationRecord& current) {
  if (was_applied(change, current)) return unchanged(ConfigurationOutcomeKind::applied, change.version);
  if (change.base != current.version()) {
    if (may_be_forgotten(change, current)) return unchanged(ConfigurationOutcomeKind::unavailable, 0);
    return unchanged(ConfigurationOutcomeKind::conflict, current.version());
  }
  return leaf::try_handle_all(
      [&]() -> leaf::result<ChangeResult> {
        BOOST_LEAF_AUTO(json, changed_json(change, current));
        wire::ConfigurationRecord next = current;
        next.set_version(change.version);
        next.set_json(std::move(json));
        note_applied(change, next);
        const ConfigurationOutcome outcome{ConfigurationOutcomeKind::applied, change.version, {}};
        return ChangeResult{outcome, std::move(next)};
      },
      [](const InvalidInput& error) { return refused(error); },
      [&] {
        return refused(InvalidInput{source_of(change.kind), "body", "", "a readable change"});
      });
}

}  // namespace winchhall::cluster
