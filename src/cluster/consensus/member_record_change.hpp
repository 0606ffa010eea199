// One change of the member record: a compare-and-swap of the register that holds it.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "cluster/consensus/register_client.hpp"

namespace winchhall::cluster {

// Reads the register's value; epoch 0 for text that is no record.
wire::MemberRecord parse_member_record(const std::string& bytes);

// Puts `next` in the place of `base`, unless the register holds another record than `base` by then. `done`
// gets the record that is chosen afterwards, `next` or another one; none: no majority answered in time, or
// the register was never written, so that the group still has its founding record.
void change_member_record(RegisterClient& registers, const wire::MemberRecord& base,
                          const wire::MemberRecord& next,
                          std::function<void(std::optional<wire::MemberRecord>)> done);

}  // namespace winchhall::cluster
