#include "aggregator/hot_restart/process_state.hpp"

#include <xxhash.h>

#include <cmath>

#include "state.pb.h"

namespace winchhall::hot_restart {
namespace wire = winchhall::takeover::wire;  // the package name that the file format was defined with

namespace {

constexpr char kMagic[] = "WHSTATE1";  // the last character is the format version
constexpr std::size_t kMagicSize = sizeof kMagic - 1, kHeaderSize = kMagicSize + 8;

std::uint64_t checksum(std::string_view body) { return XXH3_64bits(body.data(), body.size()); }

ProcessId read(const wire::Who& id) { return {id.started_ms(), id.pid()}; }
void write(const ProcessId& from, wire::Who& to) {
  to.set_started_ms(from.started_ms);
  to.set_pid(from.pid);
}

}  // namespace

std::string encode(const State& state) {
  wire::State w;
  w.set_name(state.name);
  write(state.id, *w.mutable_who());
  w.set_number(state.sequence_number);
  w.set_phase(state.phase);
  w.set_listens(state.listens);
  for (const ProcessId& id : state.known_processes) write(id, *w.add_heard_of());
  w.set_revision(state.revision);
  for (const coordination::Member& m : state.members) {
    wire::Server& s = *w.add_servers();
    s.set_id(m.entry.server);
    s.set_endpoint(m.endpoint);
    s.set_cell(m.entry.cell);
    s.set_size(m.entry.size);
    s.set_state(static_cast<int>(m.entry.state));
    s.set_start_known(m.entry.started.has_value());
    s.set_started_ms(m.entry.started.value_or(0));
  }
  std::string body = w.SerializeAsString(), bytes = kMagic;
  std::uint64_t sum = checksum(body);
  for (int i = 0; i < 8; ++i) bytes += static_cast<char>(sum >> (8 * i));
  return bytes + body;
}

std::optional<State> decode(const std::string& bytes, std::string& why) {
  if (bytes.size() < kHeaderSize || bytes.compare(0, kMagicSize - 1, kMagic, kMagicSize - 1) != 0) {
    why = "not a state file of an aggregator, or truncated";
    return std::nullopt;
  }
  if (bytes.compare(0, kMagicSize, kMagic) != 0) {
    why = std::string("format version ") + bytes[kMagicSize - 1] + ", expected " + kMagic[kMagicSize - 1];
    return std::nullopt;
  }
  std::uint64_t sum = 0;
  for (std::size_t i = 0; i < 8; ++i)
    sum |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[kMagicSize + i])) << (8 * i);
  std::string body = bytes.substr(kHeaderSize);
  wire::State w;
  if (checksum(body) != sum || !w.ParseFromString(body)) {
    why = "checksum mismatch: truncated or corrupted";
    return std::nullopt;
  }
  State s;
  s.name = w.name();
  s.id = read(w.who());
  s.sequence_number = w.number();
  s.phase = w.phase();
  s.listens = w.listens();
  for (const auto& id : w.heard_of()) s.known_processes.push_back(read(id));
  s.revision = w.revision();
  for (const auto& server : w.servers()) {
    coordination::Member m;
    m.entry.server = server.id();
    m.entry.cell = server.cell();
    m.entry.size = std::isfinite(server.size()) && server.size() > 0 ? server.size() : 1;
    int state = server.state();
    m.entry.state = state == 0   ? winchhall::ServerState::ready
                    : state == 1 ? winchhall::ServerState::draining
                                 : winchhall::ServerState::removed;
    if (server.start_known()) m.entry.started = server.started_ms();
    m.endpoint = server.endpoint();
    s.members.push_back(std::move(m));
  }
  return s;
}

}  // namespace winchhall::hot_restart
