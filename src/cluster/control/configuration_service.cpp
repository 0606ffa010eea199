#include "cluster/control/configuration_service.hpp"

#include <algorithm>

#include "cluster/common/digest.hpp"
#include "cluster/delivery/configuration_items.hpp"

namespace winchhall::cluster {
namespace {

constexpr Millis kQuorumTimeout{3500};
constexpr Millis kLeadersCheckInterval{50};
constexpr Millis kLongestWatch{10'000};

// A text that isn't a record counts as one that was never written.
wire::ConfigurationRecord read_record(const std::string& value) {
  wire::ConfigurationRecord record;
  if (!record.ParseFromString(value)) record.Clear();
  return record;
}

}  // namespace

ConfigurationService::ConfigurationService(Runtime& runtime, RegisterClient& registers,
                                           ConfigurationSurroundings surroundings)
    : runtime_(runtime), registers_(registers), surroundings_(std::move(surroundings)) {}

void ConfigurationService::put(const std::optional<std::string>& base, std::string body, ChangeDone done) {
  change(ConfigurationChangeKind::put, base, std::move(body), std::move(done));
}

void ConfigurationService::patch(const std::optional<std::string>& base, std::string body, ChangeDone done) {
  change(ConfigurationChangeKind::patch, base, std::move(body), std::move(done));
}

void ConfigurationService::change(ConfigurationChangeKind kind, const std::optional<std::string>& base,
                                  std::string body, ChangeDone done) {
  const auto refuse = [&](const InvalidInput& error) {
    done(ConfigurationOutcome{ConfigurationOutcomeKind::invalid, 0, error});
  };
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(read, read_change(kind, base, std::move(body)));
        propose(std::move(read), std::move(done));
        return {};
      },
      [&](const InvalidInput& error) { refuse(error); },
      [&] {
        refuse(InvalidInput{"Config", "body", "", "a readable change"});
      });
}

void ConfigurationService::propose(ConfigurationChange change, ChangeDone done) {
  const auto proposed = std::make_shared<const ConfigurationChange>(std::move(change));
  const auto outcome = std::make_shared<ConfigurationOutcome>();
  const RegisterChange compute = [proposed,
                                  outcome](const std::string& current) -> std::optional<std::string> {
    ChangeResult result = apply_change(*proposed, read_record(current));
    *outcome = std::move(result.outcome);
    if (!result.record) return std::nullopt;
    return result.record->SerializeAsString();
  };
  const auto finish = [this, outcome, done = std::move(done)](const std::optional<RegisterValue>& chosen) {
    if (!chosen) return done(ConfigurationOutcome{});
    on_register_value(*chosen);
    done(*outcome);
  };
  registers_.update(kConfigurationRegister, compute, kQuorumTimeout, finish);
}

void ConfigurationService::get(ReadDone done) {
  const RegisterChange keep = [](const std::string&) { return std::nullopt; };
  const auto finish = [this, done = std::move(done)](const std::optional<RegisterValue>& chosen) {
    if (!chosen) return done(ConfigurationRead{});
    on_register_value(*chosen);
    wire::ConfigurationRecord record = read_record(chosen->value);
    if (record.version() == 0) return done(ConfigurationRead{ConfigurationReadKind::missing, 0, {}});
    done(ConfigurationRead{ConfigurationReadKind::found, record.version(), record.json()});
  };
  registers_.update(kConfigurationRegister, keep, kQuorumTimeout, finish);
}

void ConfigurationService::on_register_value(const RegisterValue& value) {
  const wire::ConfigurationRecord record = read_record(value.value);
  if (record.version() > newest_version()) take_newest(record);
}

void ConfigurationService::take_newest(const wire::ConfigurationRecord& record) {
  const bool taken = leaf::try_handle_all(
      [&]() -> leaf::result<bool> {
        BOOST_LEAF_AUTO(configuration, parse_configuration(record.json(), kConfigurationRegister));
        newest_ = std::move(configuration);
        return true;
      },
      [] { return false; });  // made by a version of the program that allows more
  if (!taken) return;
  items_.apply(items_.difference_to(newest_->version, items_of(*newest_)));
  if (listener_) listener_(*newest_);
  answer_watchers();
}

std::uint64_t ConfigurationService::leaders_digest() const {
  std::vector<wire::ShardLeader> leaders = surroundings_.leaders();
  std::sort(leaders.begin(), leaders.end(),
            [](const wire::ShardLeader& left, const wire::ShardLeader& right) {
              return left.shard() < right.shard();
            });
  Digest digest;
  for (const wire::ShardLeader& leader : leaders) {
    digest.add(leader.shard());
    digest.add(leader.epoch());
    digest.add(leader.address());
  }
  for (const wire::Member& member : surroundings_.members()) {
    digest.add(member.id());
    digest.add(member.address());
  }
  return digest.value();
}

void ConfigurationService::watch(const wire::ConfigurationWatch& request, Replier reply) {
  const Millis wait = std::min(Millis(request.wait_ms()), kLongestWatch);
  Watcher watcher{request, std::move(reply), runtime_.now() + wait};
  const std::uint64_t digest = leaders_digest();
  if (due(watcher, digest)) return answer(watcher, digest);
  watchers_.push_back(std::move(watcher));
  if (!check_timer_) schedule_check();
}

bool ConfigurationService::handle(const wire::Envelope& request, const Replier& reply) {
  if (request.has_configuration_watch()) {
    watch(request.configuration_watch(), reply);
    return true;
  }
  if (request.has_configuration_fetch()) {
    differences_.handle(request.configuration_fetch(), reply);
    return true;
  }
  return false;
}

void ConfigurationService::stop() {
  check_timer_.reset();
  const std::uint64_t digest = leaders_digest();
  std::list<Watcher> open;
  open.swap(watchers_);
  for (const Watcher& watcher : open) answer(watcher, digest);
}

bool ConfigurationService::due(const Watcher& watcher, std::uint64_t digest) const {
  return newest_version() > watcher.request.version() || digest != watcher.request.leaders_digest() ||
         runtime_.now() >= watcher.end;
}

void ConfigurationService::answer(const Watcher& watcher, std::uint64_t digest) const {
  wire::Envelope envelope;
  wire::ConfigurationUpdate& update = *envelope.mutable_configuration_update();
  update.set_version(newest_version());
  const bool sent_whole = !watcher.request.fetches() && newest_version() > watcher.request.version();
  if (sent_whole) update.set_configuration(newest_->json);
  for (const wire::ShardLeader& leader : surroundings_.leaders()) *update.add_leaders() = leader;
  for (const wire::Member& member : surroundings_.members()) *update.add_members() = member;
  update.set_leaders_digest(digest);
  update.set_in_touch(surroundings_.in_touch());
  watcher.reply(std::move(envelope));
}

void ConfigurationService::answer_watchers() {
  if (watchers_.empty()) return;
  const std::uint64_t digest = leaders_digest();
  for (auto watcher = watchers_.begin(); watcher != watchers_.end();) {
    if (!due(*watcher, digest)) {
      ++watcher;
      continue;
    }
    const Watcher answered = std::move(*watcher);
    watcher = watchers_.erase(watcher);
    answer(answered, digest);
  }
}

void ConfigurationService::schedule_check() {
  check_timer_ = runtime_.after(kLeadersCheckInterval, [this] {
    answer_watchers();
    if (watchers_.empty()) {
      check_timer_.reset();
    } else {
      schedule_check();
    }
  });
}

}  // namespace winchhall::cluster
