#include "cluster/control/configuration_snapshots.hpp"

#include <boost/uuid/name_generator_sha1.hpp>
#include <boost/uuid/uuid.hpp>
#include <boost/uuid/uuid_io.hpp>
#include <charconv>
#include <string_view>

namespace winchhall::cluster {

namespace {

constexpr std::string_view kKeyPrefix = "configuration/snapshot/";

boost::uuids::uuid digest_of(const std::string& json) {
  return boost::uuids::name_generator_sha1(boost::uuids::ns::oid())(json);
}

// Returns the key "configuration/snapshot/VERSION/DIGEST" with the digest in the form of a UUID. Keys are
// part of the stored data.
std::string key_of(const wire::ConfigurationSnapshotId& id) {
  boost::uuids::uuid digest{};
  std::copy_n(id.digest().begin(), std::min(id.digest().size(), digest.size()), digest.begin());
  return std::string(kKeyPrefix) + std::to_string(id.version()) + "/" + boost::uuids::to_string(digest);
}

// Returns the version in a key, or nothing if it is not the key of a snapshot.
std::optional<std::uint64_t> version_in(std::string_view key) {
  if (!key.starts_with(kKeyPrefix)) return std::nullopt;
  key.remove_prefix(kKeyPrefix.size());
  std::uint64_t version = 0;
  if (std::from_chars(key.data(), key.data() + key.size(), version).ec != std::errc()) return std::nullopt;
  return version;
}

bool is_content_of(const wire::ConfigurationSnapshotId& id, const std::string& json) {
  return !json.empty() && ConfigurationSnapshots::id_of(id.version(), json).digest() == id.digest();
}

}  // namespace

wire::ConfigurationSnapshotId ConfigurationSnapshots::id_of(std::uint64_t version, const std::string& json) {
  const boost::uuids::uuid digest = digest_of(json);
  wire::ConfigurationSnapshotId id;
  id.set_version(version);
  id.set_digest(std::string(digest.begin(), digest.end()));
  return id;
}

void ConfigurationSnapshots::write(const wire::ConfigurationSnapshotId& id, const std::string& json,
                                   Millis timeout, std::function<void(bool)> done) {
  const RegisterChange set_content = [json](const std::string& current) {
    return current == json ? std::nullopt : std::optional<std::string>(json);
  };
  registers_.update(
      key_of(id), set_content, timeout,
      [done = std::move(done)](const std::optional<RegisterValue>& chosen) { done(chosen.has_value()); });
}

void ConfigurationSnapshots::read(const wire::ConfigurationSnapshotId& id, Millis timeout,
                                  std::function<void(std::optional<std::string>)> done) {
  const std::string key = key_of(id);
  std::optional<std::string> replica = local_.chosen(key);
  if (replica && is_content_of(id, *replica)) return done(std::move(replica));
  registers_.read(key, timeout, [id, done = std::move(done)](const std::optional<RegisterValue>& chosen) {
    if (!chosen || !is_content_of(id, chosen->value)) return done(std::nullopt);
    done(chosen->value);
  });
}

void ConfigurationSnapshots::drop_unneeded(const wire::ConfigurationRecord& record) {
  const std::string kept = record.has_snapshot() ? key_of(record.snapshot()) : std::string();
  local_.drop([&](const std::string& key) {
    const std::optional<std::uint64_t> version = version_in(key);
    return version && *version <= record.version() && key != kept;
  });
}

}  // namespace winchhall::cluster
