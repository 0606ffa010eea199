#include "cluster/control/configuration_change.hpp"

#include <boost/uuid/name_generator_sha1.hpp>
#include <boost/uuid/uuid.hpp>
#include <charconv>

#include "cluster/control/applied_changes.hpp"
#include "cluster/control/configuration_snapshots.hpp"
#include "cluster/control/former_route_records.hpp"

namespace winchhall::cluster {
namespace {

// Maximum total size of the patches that a record holds on top of its snapshot, enough for about a hundred
// changes of a route. Above this size, a new snapshot costs less than the patches in every write of the
// record.
constexpr std::size_t kMaxPatchBytes = 32u << 10;
constexpr const char* kPutSource = "Config.Put";
constexpr const char* kPatchSource = "Config.Patch";

const char* source_of(ConfigurationChangeKind kind) {
  return kind == ConfigurationChangeKind::put ? kPutSource : kPatchSource;
}

// Returns a digest (128 bits of a SHA-1) of kind and body. Distinct changes have distinct digests.
std::string digest_of(ConfigurationChangeKind kind, const std::string& body) {
  const boost::uuids::name_generator_sha1 names(boost::uuids::ns::oid());
  const boost::uuids::uuid kind_name = names(source_of(kind));
  const boost::uuids::uuid digest = boost::uuids::name_generator_sha1(kind_name)(body);
  return std::string(digest.begin(), digest.end());
}

leaf::result<std::uint64_t> parse_base_version(ConfigurationChangeKind kind,
                                               const std::optional<std::string>& text) {
  if (!text) return 0;
  std::uint64_t base = 0;
  const char* const end = text->data() + text->size();
  const std::from_chars_result parsed = std::from_chars(text->data(), end, base);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return leaf::new_error(InvalidInput{source_of(kind), kBaseVersionHeader, *text, "a whole number"});
  }
  return base;
}

leaf::result<void> check_version_rises(const ConfigurationChange& change, std::uint64_t current) {
  if (change.version > current) return {};
  return leaf::new_error(InvalidInput{source_of(change.kind), "version", std::to_string(change.version),
                                      "a version above " + std::to_string(current)});
}

// Validates a patch against `base` and returns the resulting edit. A put was validated when it was parsed:
// its edit is empty.
leaf::result<ConfigurationEdit> check_patch(const ConfigurationChange& change,
                                            const ConfigurationDocument* base) {
  if (change.kind == ConfigurationChangeKind::put) return ConfigurationEdit();
  const ConfigurationDocument empty;
  return (base == nullptr ? empty : *base).check(change.patch, kPatchSource);
}

// The complete configuration that a change creates.
struct CompleteConfiguration {
  std::string json;
  std::vector<RouteChange> route_changes;
};

// A patch of an existing configuration was validated together with it; without one, the patch must be a valid
// configuration by itself.
leaf::result<CompleteConfiguration> complete_configuration(const ConfigurationChange& change,
                                                           const ConfigurationDocument* base,
                                                           const ConfigurationEdit& edit) {
  if (change.kind == ConfigurationChangeKind::put) {
    const Configuration empty;
    const Configuration& before = base == nullptr ? empty : base->configuration();
    return CompleteConfiguration{change.body, route_moves_between(before, change.put)};
  }
  ConfigurationDocument next = base == nullptr ? ConfigurationDocument() : *base;
  CompleteConfiguration complete;
  complete.route_changes = next.apply(change.patch, edit);
  complete.json = next.json();
  if (base == nullptr) BOOST_LEAF_CHECK(parse_configuration(complete.json, kPatchSource));
  return complete;
}

// Returns true if a change can be appended to the record as a patch of its snapshot.
bool fits_as_patch(const ConfigurationChange& change, const wire::ConfigurationRecord& record) {
  if (change.kind == ConfigurationChangeKind::put || !record.has_snapshot()) return false;
  std::size_t bytes = change.body.size();
  for (const wire::ConfigurationPatchEntry& entry : record.patches()) bytes += entry.body().size();
  return bytes <= kMaxPatchBytes;
}

void append_patch(const ConfigurationChange& change, wire::ConfigurationRecord& record) {
  wire::ConfigurationPatchEntry& entry = *record.add_patches();
  entry.set_version(change.version);
  entry.set_body(change.body);
  entry.set_received_wall_ms(change.received_wall_ms);
}

// Stores a complete configuration in the record: as the id of a snapshot, or as text if a member may be
// unable to read snapshots. If the record already names a snapshot, all members could read snapshots before,
// so that the record never returns to text.
void replace_content(std::uint64_t version, std::string json, bool snapshots_allowed, ChangeResult& result) {
  wire::ConfigurationRecord& record = *result.record;
  const bool had_snapshot = record.has_snapshot();
  record.clear_patches();
  record.clear_snapshot();
  record.clear_json();
  if (!snapshots_allowed && !had_snapshot) {
    record.set_json(std::move(json));
    return;
  }
  *record.mutable_snapshot() = ConfigurationSnapshots::id_of(version, json);
  result.snapshot = std::move(json);
}

leaf::result<ChangeResult> make_next_record(const ConfigurationChange& change,
                                            const wire::ConfigurationRecord& current, const ChangeBase& base,
                                            bool snapshots_allowed) {
  BOOST_LEAF_CHECK(check_version_rises(change, current.version()));
  BOOST_LEAF_AUTO(edit, check_patch(change, base.document));
  ChangeResult result;
  result.outcome = {ConfigurationOutcomeKind::applied, change.version, {}};
  result.record = current;
  result.record->set_version(change.version);
  append_applied_change(change, *result.record);
  if (fits_as_patch(change, current)) {
    append_patch(change, *result.record);
    return result;
  }
  BOOST_LEAF_AUTO(complete, complete_configuration(change, base.document, edit));
  FormerRoutes former_routes = base.former_routes;
  former_routes.record(complete.route_changes, change.received_wall_ms, change.version);
  write_former_routes(former_routes, *result.record);
  replace_content(change.version, std::move(complete.json), snapshots_allowed, result);
  return result;
}

ChangeResult rejected(const InvalidInput& error) {
  return {ConfigurationOutcome{ConfigurationOutcomeKind::invalid, 0, error}, std::nullopt, std::nullopt};
}

}  // namespace

leaf::result<ConfigurationChange> parse_change(ConfigurationChangeKind kind,
                                               const std::optional<std::string>& base, std::string body,
                                               std::int64_t received_wall_ms) {
  ConfigurationChange change;
  change.received_wall_ms = received_wall_ms;
  change.kind = kind;
  BOOST_LEAF_ASSIGN(change.base, parse_base_version(kind, base));
  if (kind == ConfigurationChangeKind::put) {
    BOOST_LEAF_ASSIGN(change.put, parse_configuration(body, kPutSource));
    change.version = change.put.version;
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
  if (may_have_been_dropped(change, current)) return ConfigurationOutcome{};
  return ConfigurationOutcome{ConfigurationOutcomeKind::conflict, current.version(), {}};
}

ChangeResult apply_change(const ConfigurationChange& change, const wire::ConfigurationRecord& current,
                          const ChangeBase& base, bool snapshots_allowed) {
  return leaf::try_handle_all(
      [&] { return make_next_record(change, current, base, snapshots_allowed); },
      [](const InvalidInput& error) { return rejected(error); },
      [&] {
        return rejected(InvalidInput{source_of(change.kind), "body", "", "a readable change"});
      });
}

}  // namespace winchhall::cluster
