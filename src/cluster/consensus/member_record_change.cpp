#include "cluster/consensus/member_record_change.hpp"

#include <utility>

#include "cluster/consensus/register_keys.hpp"

namespace winchhall::cluster {

namespace {
constexpr Millis kChangeTimeout{2000};
}

wire::MemberRecord parse_member_record(const std::string& bytes) {
  wire::MemberRecord record;
  record.ParseFromString(bytes);
  return record;
}

void change_member_record(RegisterClient& registers, const wire::MemberRecord& base,
                          const wire::MemberRecord& next,
                          std::function<void(std::optional<wire::MemberRecord>)> done) {
  const auto change = [base_epoch = base.epoch(), value = next.SerializeAsString()](
                          const std::string& current) -> std::optional<std::string> {
    // Before the first change the register is empty and the group has its founding record.
    const std::uint64_t current_epoch = current.empty() ? 1 : parse_member_record(current).epoch();
    if (current_epoch != base_epoch) return std::nullopt;
    return value;
  };
  registers.update(kMembersRegisterKey, change, kChangeTimeout,
                   [done = std::move(done)](const std::optional<RegisterValue>& value) {
                     if (!value || value->value.empty()) return done(std::nullopt);
                     done(parse_member_record(value->value));
                   });
}

}  // namespace winchhall::cluster
