#include "cluster/consensus/acceptor.hpp"

#include <set>
#include <utility>

namespace winchhall::cluster {

namespace {

constexpr std::size_t kPageBytes = 128 << 10;  // a page is full once its entries reach this size

// Prefixes of the keys in state pages; their order is the order in which entries are sent.
const std::string kShardPrefix = "1/";
const std::string kRecordPrefix = "2/";
const std::string kRegisterPrefix = "3/";

// Prefixes of the keys in the store.
const std::string kStoredShardPrefix = shard_store_key("");
const std::string kStoredRecordPrefix = "record/";
const std::string kStoredRegisterPrefix = register_store_key("");

// Identifies a record in the keys of the store and of state pages, encoded as "SHARD\0KEY".
struct RecordName {
  std::string shard;
  std::string key;
};

std::string make_record_name(const std::string& shard, const std::string& key) {
  std::string name = shard;
  name.push_back('\0');
  return name + key;
}

RecordName parse_record_name(std::string_view name) {
  const std::size_t end = name.find('\0');
  if (end == std::string_view::npos) return {};
  return {std::string(name.substr(0, end)), std::string(name.substr(end + 1))};
}

template <typename Message>
Message parse_message(std::string_view bytes) {
  Message message;
  message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
  return message;
}

// Collects the entries after a key until the page is full.
class PageWriter {
 public:
  explicit PageWriter(std::string after_key) : after_key_(std::move(after_key)) { page_.set_last(true); }

  void add(std::string key, const google::protobuf::MessageLite& value) {
    if (!page_.last() || key <= after_key_) return;
    if (bytes_ >= kPageBytes) return page_.set_last(false);
    wire::StateEntry* entry = page_.add_entries();
    value.SerializeToString(entry->mutable_value());
    bytes_ += key.size() + entry->value().size();
    entry->set_key(std::move(key));
  }
  bool full() const { return !page_.last(); }
  const std::string& after_key() const { return after_key_; }
  wire::StatePage take() { return std::move(page_); }

 private:
  const std::string after_key_;
  wire::StatePage page_;
  std::size_t bytes_ = 0;
};

void add_records(const std::string& shard, const ShardRecords& records, PageWriter& writer) {
  const std::string prefix = kRecordPrefix + make_record_name(shard, "");
  // Resumes after the last record sent without iterating over the earlier ones.
  const bool resumes_here = writer.after_key().starts_with(prefix);
  auto entry = resumes_here ? records.upper_bound(writer.after_key().substr(prefix.size())) : records.begin();
  for (; entry != records.end() && !writer.full(); ++entry) writer.add(prefix + entry->first, entry->second);
}

}  // namespace

Acceptor::Acceptor(Runtime& runtime, CommitQueue& commit_queue, const MembershipStatus& status,
                   RegisterAcceptor::ChosenListener on_chosen)
    : registers_(commit_queue, status, std::move(on_chosen)), shards_(runtime, commit_queue, status) {}

void Acceptor::load(std::string_view key, std::string_view value) {
  if (key.starts_with(kStoredShardPrefix)) {
    shards_.load_state(std::string(key.substr(kStoredShardPrefix.size())),
                       parse_message<wire::ShardState>(value));
  } else if (key.starts_with(kStoredRecordPrefix)) {
    const RecordName name = parse_record_name(key.substr(kStoredRecordPrefix.size()));
    shards_.load_record(name.shard, parse_message<wire::ShardRecord>(value));
  } else if (key.starts_with(kStoredRegisterPrefix)) {
    registers_.load(std::string(key.substr(kStoredRegisterPrefix.size())),
                    parse_message<wire::RegisterState>(value));
  }
}

bool Acceptor::handle(const wire::Envelope& request, const ReplyCallback& reply) {
  switch (request.body_case()) {
    case wire::Envelope::kRegisterPrepare:
      registers_.prepare(request.register_prepare(), reply);
      return true;
    case wire::Envelope::kRegisterAccept:
      registers_.accept(request.register_accept(), reply);
      return true;
    case wire::Envelope::kLeaseRequest:
      shards_.lease(request.lease_request(), reply);
      return true;
    case wire::Envelope::kShardRead:
      shards_.read(request.shard_read(), reply);
      return true;
    case wire::Envelope::kShardWrite:
      shards_.write(request.shard_write(), reply);
      return true;
    default:
      return false;
  }
}

wire::StatePage Acceptor::state_page(const std::string& after_key) const {
  PageWriter writer(after_key);
  const std::map<std::string, const ShardReplica*> replicas = shards_.replicas();
  for (const auto& [shard, replica] : replicas) writer.add(kShardPrefix + shard, replica->state);
  for (const auto& [shard, replica] : replicas) add_records(shard, replica->records, writer);
  for (const auto& [key, state] : registers_.states()) writer.add(kRegisterPrefix + key, state);
  return writer.take();
}

void Acceptor::add_state_entry(const wire::StateEntry& entry, TransferredState& copy) {
  const std::string_view key = entry.key();
  if (key.starts_with(kShardPrefix)) {
    copy.shards[std::string(key.substr(kShardPrefix.size()))].state =
        parse_message<wire::ShardState>(entry.value());
  } else if (key.starts_with(kRecordPrefix)) {
    const RecordName name = parse_record_name(key.substr(kRecordPrefix.size()));
    copy.shards[name.shard].records[name.key] = parse_message<wire::ShardRecord>(entry.value());
  } else if (key.starts_with(kRegisterPrefix)) {
    copy.registers[std::string(key.substr(kRegisterPrefix.size()))] =
        parse_message<wire::RegisterState>(entry.value());
  }
}

StoreBatch Acceptor::merge(const std::vector<TransferredState>& copies) {
  StoreBatch batch;
  std::set<std::string> shards;
  for (const TransferredState& copy : copies) {
    for (const auto& [key, state] : copy.registers) registers_.merge(key, state, batch);
    for (const auto& [shard, replica] : copy.shards) shards.insert(shard);
  }
  for (const std::string& shard : shards) merge_shard(shard, copies, batch);
  return batch;
}

void Acceptor::merge_shard(const std::string& shard, const std::vector<TransferredState>& copies,
                           StoreBatch& batch) {
  std::vector<const ShardReplica*> sources;
  const std::map<std::string, const ShardReplica*> own = shards_.replicas();
  if (own.contains(shard)) sources.push_back(own.at(shard));
  for (const TransferredState& copy : copies) {
    const auto found = copy.shards.find(shard);
    if (found != copy.shards.end()) sources.push_back(&found->second);
  }
  shards_.replace(shard, merge_replicas(sources), batch);
}

}  // namespace winchhall::cluster
