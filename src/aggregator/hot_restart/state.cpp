#include "aggregator/hot_restart/state.hpp"

#include <xxhash.h>

#include <cmath>

#include "state.pb.h"

namespace winchhall::takeover {
namespace {

constexpr char kMark[] = "WHSTATE1";  // its last sign is the version of the form around the state
constexpr std::size_t kMarkSize = sizeof kMark - 1, kHead = kMarkSize + 8;

std::uint64_t checksum(std::string_view body) { return XXH3_64bits(body.data(), body.size()); }

Who read(const wire::Who& who) { return {who.started_ms(), who.pid()}; }
void write(const Who& from, wire::Who& to) {
  to.set_started_ms(from.started);
  to.set_pid(from.pid);
}

}  // namespace

std::string encode(const State& state) {
  wire::State w;
  w.set_name(state.name);
  write(state.who, *w.mutable_who());
  w.set_number(state.number);
  w.set_phase(state.phase);
  w.set_listens(state.listens);
  for (const Who& who : state.heard_of) write(who, *w.add_heard_of());
  w.set_revision(state.revision);
  for (const core::Member& m : state.members) {
    wire::Server& s = *w.add_servers();
    s.set_id(m.entry.server);
    s.set_endpoint(m.endpoint);
    s.set_cell(m.entry.cell);
    s.set_size(m.entry.size);
    s.set_state(static_cast<int>(m.entry.state));
    s.set_start_known(m.entry.started.has_value());
    s.set_started_ms(m.entry.started.value_or(0));
  }
  std::string body = w.SerializeAsString(), bytes = kMark;
  std::uint64_t sum = checksum(body);
  for (int i = 0; i < 8; ++i) bytes += static_cast<char>(sum >> (8 * i));
  return bytes + body;
}

std::optional<State> decode(const std::string& bytes, std::string& why) {
  if (bytes.size() < kHead || bytes.compare(0, kMarkSize - 1, kMark, kMarkSize - 1) != 0) {
    why = "no state of an aggregator, or cut short";
    return std::nullopt;
  }
  if (bytes.compare(0, kMarkSize, kMark) != 0) {
    why = std::string("version ") + bytes[kMarkSize - 1] + ", known is " + kMark[kMarkSize - 1];
    return std::nullopt;
  }
  std::uint64_t sum = 0;
  for (std::size_t i = 0; i < 8; ++i)
    sum |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[kMarkSize + i])) << (8 * i);
  std::string body = bytes.substr(kHead);
  wire::State w;
  if (checksum(body) != sum || !w.ParseFromString(body)) {
    why = "its checksum does not fit: cut short or spoilt";
    return std::nullopt;
  }
  State s;
  s.name = w.name();
  s.who = read(w.who());
  s.number = w.number();
  s.phase = w.phase();
  s.listens = w.listens();
  for (const auto& who : w.heard_of()) s.heard_of.push_back(read(who));
  s.revision = w.revision();
  for (const auto& server : w.servers()) {
    core::Member m;
    m.entry.server = server.id();
    m.entry.cell = server.cell();
    m.entry.size = std::isfinite(server.size()) && server.size() > 0 ? server.size() : 1;
    int state = server.state();
    m.entry.state = state == 0   ? winchhall::ServerState::ready
                    : state == 1 ? winchhall::ServerState::draining
                                 : winchhall::ServerState::gone;
    if (server.start_known()) m.entry.started = server.started_ms();
    m.endpoint = server.endpoint();
    s.members.push_back(std::move(m));
  }
  return s;
}

}  // namespace winchhall::takeover
