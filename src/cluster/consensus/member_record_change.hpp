// One change of the member record: a compare-and-swap of the register that holds it.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "cluster/consensus/register_client.hpp"

namespace winchhall::cluster {

// Parses the value of the register. Returns a record with epoch 0 if the text is not a record.
wire::MemberRecord parse_member_record(const std::string& bytes);

// Replaces `base` by `next`, unless the register holds another record than `base` by then. `done` gets the
// record that is chosen afterwards, which is `next` or another one. It gets none if no majority answered in
// time, or if the register was never written, so that the group still has its founding record.
void change_member_record(RegisterClient& registers, const wire::MemberRecord& base,
                          const wire::MemberRecord& next,
                          std::function<void(std::optional<wire::MemberRecord>)> done);

}  // namespace winchhall::cluster
