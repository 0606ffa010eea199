#include "cluster/worker_agent/heartbeat_json.hpp"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <limits>

namespace winchhall::cluster {
namespace {

namespace json = boost::json;

constexpr const char* kErrorSource = "Instances.Heartbeat";
constexpr std::size_t kMaxErrorValueBytes = 80;  // of an invalid value quoted in an error
constexpr std::size_t kMaxLeafIdBytes = 128;
constexpr std::size_t kMaxEscapedBytesPerByte = 6;  // as \u00XX
constexpr std::size_t kMaxOrderOverheadBytes = 64;  // brackets, quotes, commas and numbers

leaf::error_id invalid(std::string field, const json::value* found, std::string allowed) {
  std::string shown = found != nullptr ? json::serialize(*found) : std::string();
  if (shown.size() > kMaxErrorValueBytes) shown.resize(kMaxErrorValueBytes);
  return leaf::new_error(InvalidInput{kErrorSource, std::move(field), std::move(shown), std::move(allowed)});
}

// Returns null if the field is missing or its value is null.
const json::value* find_field(const json::object& object, std::string_view name) {
  const json::value* const found = object.if_contains(name);
  return found != nullptr && !found->is_null() ? found : nullptr;
}

leaf::result<std::string> read_text(const json::value* value, const std::string& field) {
  if (value == nullptr) return std::string();
  const json::string* const text = value->if_string();
  if (text == nullptr) return invalid(field, value, "a text");
  return std::string(text->data(), text->size());
}

leaf::result<std::uint64_t> read_number(const json::value* value, const std::string& field) {
  if (value == nullptr) return 0;
  if (const std::uint64_t* const number = value->if_uint64()) return *number;
  const std::int64_t* const number = value->if_int64();
  if (number != nullptr && *number >= 0) return static_cast<std::uint64_t>(*number);
  const double* const fraction = value->if_double();
  constexpr double kLargest = 9e15;
  if (fraction != nullptr && *fraction >= 0 && *fraction <= kLargest) {
    return static_cast<std::uint64_t>(*fraction);
  }
  return invalid(field, value, "a number that is not negative");
}

leaf::result<std::optional<std::uint64_t>> read_optional_number(const json::object& object,
                                                                const std::string& field) {
  const json::value* const value = find_field(object, field);
  if (value == nullptr) return std::nullopt;
  BOOST_LEAF_AUTO(number, read_number(value, field));
  return number;
}

// Like `read_number`, but replaces numbers beyond 32 bits by the largest 32-bit number.
leaf::result<std::uint32_t> read_small_number(const json::value* value, const std::string& field) {
  BOOST_LEAF_AUTO(number, read_number(value, field));
  constexpr std::uint64_t kLargest = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(std::min(number, kLargest));
}

leaf::result<const json::array*> read_list(const json::object& object, std::string_view name) {
  const json::value* const value = find_field(object, name);
  if (value == nullptr) return nullptr;
  if (!value->is_array()) return invalid(std::string(name), value, "a list");
  return &value->get_array();
}

// Reads an entry of a list of tuples. It must have at least `min_size` items.
leaf::result<const json::array*> read_entry(const json::value& entry, const std::string& field,
                                            std::size_t min_size) {
  const json::array* const items = entry.if_array();
  if (items == nullptr || items->size() < min_size) {
    return invalid(field, &entry, "a list of at least " + std::to_string(min_size));
  }
  return items;
}

const json::value* find_item(const json::array& items, std::size_t position) {
  return position < items.size() ? &items[position] : nullptr;
}

leaf::result<wire::RunningTask> read_running(const json::value& entry, const std::string& field) {
  BOOST_LEAF_AUTO(items, read_entry(entry, field, 2));
  wire::RunningTask task;
  BOOST_LEAF_AUTO(name, read_text(find_item(*items, 0), field));
  BOOST_LEAF_AUTO(run, read_number(find_item(*items, 1), field));
  BOOST_LEAF_AUTO(checkpoint, read_text(find_item(*items, 2), field));
  BOOST_LEAF_AUTO(percent, read_small_number(find_item(*items, 3), field));
  task.set_task(std::move(name));
  task.set_run(run);
  task.set_saved(std::move(checkpoint));
  task.set_percent(percent);
  return task;
}

// Maps unknown words to END_UNKNOWN instead of rejecting them, since a newer leaf may know more kinds of
// ends.
wire::EndKind end_kind(std::string_view how) {
  if (how == "done") return wire::END_DONE;
  if (how == "failed") return wire::END_FAILED;
  if (how == "stopped") return wire::END_STOPPED;
  if (how == "lapsed") return wire::END_LAPSED;
  if (how == "broken") return wire::END_BROKEN;
  if (how == "alone") return wire::END_ALONE;
  if (how == "refused") return wire::END_REFUSED;
  return wire::END_UNKNOWN;
}

leaf::result<wire::FinishedTask> read_finished(const json::value& entry, const std::string& field) {
  BOOST_LEAF_AUTO(items, read_entry(entry, field, 4));
  wire::FinishedTask task;
  BOOST_LEAF_AUTO(number, read_number(find_item(*items, 0), field));
  BOOST_LEAF_AUTO(name, read_text(find_item(*items, 1), field));
  BOOST_LEAF_AUTO(run, read_number(find_item(*items, 2), field));
  BOOST_LEAF_AUTO(how, read_text(find_item(*items, 3), field));
  BOOST_LEAF_AUTO(checkpoint, read_text(find_item(*items, 4), field));
  task.set_number(number);
  task.set_task(std::move(name));
  task.set_run(run);
  task.set_how(end_kind(how));
  task.set_saved(std::move(checkpoint));
  return task;
}

template <typename Task>
using TaskReader = leaf::result<Task> (*)(const json::value& entry, const std::string& field);

// A missing list counts as empty.
template <typename Task>
leaf::result<std::vector<Task>> read_tasks(const json::object& root, const std::string& field,
                                           TaskReader<Task> read_task) {
  std::vector<Task> tasks;
  BOOST_LEAF_AUTO(entries, read_list(root, field));
  if (entries == nullptr) return tasks;
  tasks.reserve(entries->size());
  for (const json::value& entry : *entries) {
    BOOST_LEAF_AUTO(task, read_task(entry, field));
    tasks.push_back(std::move(task));
  }
  return tasks;
}

leaf::result<void> read_capacity(const json::object& root, wire::LeafDescription& leaf) {
  const json::value* const value = find_field(root, "capacity");
  if (value == nullptr) return {};
  const json::object* const capacity = value->if_object();
  if (capacity == nullptr) return invalid("capacity", value, "an object");
  BOOST_LEAF_AUTO(cpu, read_small_number(find_field(*capacity, "cpu"), "capacity.cpu"));
  BOOST_LEAF_AUTO(mem_mb, read_small_number(find_field(*capacity, "mem_mb"), "capacity.mem_mb"));
  BOOST_LEAF_AUTO(gpu, read_small_number(find_field(*capacity, "gpu"), "capacity.gpu"));
  leaf.set_cpu(cpu);
  leaf.set_mem_mb(mem_mb);
  leaf.set_gpu(gpu);
  return {};
}

leaf::result<void> read_state(const json::object& root, wire::LeafDescription& leaf) {
  BOOST_LEAF_AUTO(state, read_text(find_field(root, "state"), "state"));
  BOOST_LEAF_AUTO(remaining_ms, read_small_number(find_field(root, "remaining_ms"), "remaining_ms"));
  BOOST_LEAF_AUTO(warmup_left_ms, read_small_number(find_field(root, "warmup_left_ms"), "warmup_left_ms"));
  leaf.set_draining(state == "draining");
  leaf.set_remaining_ms(remaining_ms);
  leaf.set_warmup_left_ms(warmup_left_ms);
  return {};
}

leaf::result<void> read_labels(const json::object& root, wire::LeafDescription& leaf) {
  BOOST_LEAF_AUTO(labels, read_list(root, "labels"));
  if (labels == nullptr) return {};
  for (const json::value& label : *labels) {
    BOOST_LEAF_AUTO(text, read_text(&label, "labels"));
    leaf.add_labels(std::move(text));
  }
  return {};
}

leaf::result<void> read_identity(const json::object& root, wire::LeafDescription& leaf) {
  BOOST_LEAF_AUTO(service, read_text(find_field(root, "backend"), "backend"));
  BOOST_LEAF_AUTO(address, read_text(find_field(root, "address"), "address"));
  BOOST_LEAF_AUTO(zone, read_text(find_field(root, "zone"), "zone"));
  BOOST_LEAF_AUTO(version, read_text(find_field(root, "version"), "version"));
  BOOST_LEAF_AUTO(slots, read_small_number(find_field(root, "slots"), "slots"));
  leaf.set_service(std::move(service));
  leaf.set_address(std::move(address));
  leaf.set_zone(std::move(zone));
  leaf.set_version(std::move(version));
  leaf.set_slots(slots);
  return {};
}

}  // namespace

bool is_valid_leaf_id(std::string_view leaf_id) {
  if (leaf_id.empty() || leaf_id.size() > kMaxLeafIdBytes) return false;
  return std::all_of(leaf_id.begin(), leaf_id.end(),
                     [](char character) { return character > ' ' && character <= '~' && character != '/'; });
}

leaf::result<Heartbeat> parse_heartbeat(const std::string& leaf_id, std::string_view body) {
  if (!is_valid_leaf_id(leaf_id)) {
    return leaf::new_error(InvalidInput{kErrorSource, "id", "", "printable characters, 128 at most"});
  }
  boost::system::error_code failure;
  const json::value root = json::parse(body, failure);
  if (failure || !root.is_object()) {
    return leaf::new_error(InvalidInput{kErrorSource, "body", failure.message(), "one whole JSON object"});
  }
  const json::object& fields = root.get_object();
  Heartbeat heartbeat;
  heartbeat.leaf.set_leaf_id(leaf_id);
  BOOST_LEAF_CHECK(read_identity(fields, heartbeat.leaf));
  BOOST_LEAF_CHECK(read_state(fields, heartbeat.leaf));
  BOOST_LEAF_CHECK(read_capacity(fields, heartbeat.leaf));
  BOOST_LEAF_CHECK(read_labels(fields, heartbeat.leaf));
  BOOST_LEAF_ASSIGN(heartbeat.running, read_tasks<wire::RunningTask>(fields, "running", read_running));
  BOOST_LEAF_ASSIGN(heartbeat.finished, read_tasks<wire::FinishedTask>(fields, "finished", read_finished));
  BOOST_LEAF_ASSIGN(heartbeat.sequence, read_optional_number(fields, "sequence"));
  BOOST_LEAF_ASSIGN(heartbeat.clock_ms, read_optional_number(fields, "clock_ms"));
  return heartbeat;
}

std::string heartbeat_response_json(const HeartbeatResponse& response) {
  json::object root;
  if (response.lease) root["hold_ms"] = response.lease->count();
  if (response.last_seen != 0) root["last_seen"] = response.last_seen;
  if (response.fence_token != 0) root["fence_token"] = response.fence_token;
  if (!response.starts.empty()) {
    json::array& starts = root["started_at"].emplace_array();
    for (const wire::StartOrder& start : response.starts) {
      starts.push_back(json::array{start.task(), start.run(), start.spec(), start.saved()});
    }
  }
  if (!response.stops.empty()) {
    json::array& stops = root["stopped_at"].emplace_array();
    for (const wire::StopOrder& stop : response.stops) stops.push_back(json::array{stop.task(), stop.run()});
  }
  if (response.retry_after.count() != 0) root["retry_after_ms"] = response.retry_after.count();
  return json::serialize(root);
}

std::string error_json(const InvalidInput& error) {
  const json::object fields{
      {"source", error.source}, {"field", error.field}, {"value", error.value}, {"allowed", error.allowed}};
  return json::serialize(json::object{{"error", fields}});
}

std::size_t max_encoded_bytes(const wire::StartOrder& start) {
  const std::size_t text = start.task().size() + start.spec().size() + start.saved().size();
  return text * kMaxEscapedBytesPerByte + kMaxOrderOverheadBytes;
}

}  // namespace winchhall::cluster
