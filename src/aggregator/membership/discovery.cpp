#include "aggregator/membership/discovery.hpp"

#include <spdlog/spdlog.h>

#include "aggregator/membership/member_list.hpp"

namespace winchhall::http {
namespace {
using winchhall::CallEnd;
using Kind = winchhall::ServerList::Kind;
// ms until a call's first line: the service queues calls for 2 s at most before it fails them.
constexpr event_loop::Millis kFirstAnswerTimeout = 2200;
constexpr std::size_t kMaxListBytes = 4 * 1024 * 1024;
}  // namespace

class Discovery::Call : public event_loop::Stream::Owner, public std::enable_shared_from_this<Call> {
 public:
  Call(Discovery& owner, bool watch) : owner_(owner), watch_(watch), parser_(HttpParser::Mode::streamed) {}

  bool begin() {
    auto to = event_loop::parse_address(owner_.address_);
    int error = 0;
    if (to) stream_ = event_loop::Stream::connect(owner_.loop_, *to, *this, error);
    set_timeout(owner_.connect_timeout_);
    return static_cast<bool>(stream_);
  }
  void connected() override {
    std::string target = "/v1/endpoints";
    if (watch_) target += "?watch=1&after=" + std::to_string(owner_.revision_);
    request_sent_ = true;
    stream_->write("GET " + target + " HTTP/1.1\r\nHost: " + owner_.address_ + "\r\n\r\n");
    set_timeout(kFirstAnswerTimeout);
  }
  void received(std::string& in) override {
    parser_.feed(in);
    HttpMessage& m = parser_.message();
    if (parser_.failed()) return owner_.finish_call(*this, "malformed response");
    if (parser_.head_done() && m.status != 200)
      return owner_.finish_call(*this, "status " + std::to_string(m.status));
    if (!parser_.head_done()) return;
    if (watch_) return read_watch(m.body);
    list_text_ += std::exchange(m.body, {});
    if (list_text_.size() > kMaxListBytes)
      return owner_.finish_call(*this, "endpoint list longer than 4 MiB");
    if (stream_->open() && parser_.done()) finish("");
  }
  void ended() override {
    // Without a request sent the connection failed; otherwise the service closed it.
    const char* how = !request_sent_ ? "connection not established"
                      : answered_    ? "watch closed by the service"
                                     : "closed without an answer";
    if (!request_sent_) refused_ = stream_->refused();
    // An incomplete object means that updates were lost.
    closed_in_order_ = answered_ && !stream_->reset() && splitter_.buffered_bytes() == 0;
    parser_.connection_closed(stream_->reset());
    finish(how);
  }

  bool watch_call() const { return watch_; }
  bool answered_ = false;

 private:
  // The watch sends JSON objects, on one line or indented over several, and an empty line every 2 s as
  // keepalive.
  void read_watch(std::string& body) {
    splitter_.feed(std::exchange(body, {}));
    std::string object;
    for (JsonObjectSplitter::Token token;
         stream_->open() && (token = splitter_.next(object)) != JsonObjectSplitter::Token::none;) {
      if (token == JsonObjectSplitter::Token::bad)
        return owner_.finish_call(*this, "malformed endpoint list");
      owner_.router_.on_list_keepalive();
      if (!answered_ || token == JsonObjectSplitter::Token::object) owner_.on_update(*this, object);
      // From the first token on, EndpointListFreshness detects a silent watch.
      if (stream_->open()) owner_.loop_.cancel(timer_);
    }
    if (splitter_.buffered_bytes() > kMaxListBytes)
      return owner_.finish_call(*this, "endpoint list longer than 4 MiB");
    if (!stream_->open() || !parser_.done()) return;
    closed_in_order_ = answered_ && splitter_.buffered_bytes() == 0;
    finish("watch closed by the service");
  }
  void finish(const std::string& how) {
    if (!watch_ && parser_.done()) owner_.on_update(*this, list_text_ + parser_.message().body);
    owner_.finish_call(*this, watch_ || !answered_ ? how : "");
  }
  void set_timeout(event_loop::Millis within) {
    owner_.loop_.cancel(timer_);
    timer_ = owner_.loop_.run_at(owner_.loop_.now() + within, [this] {
      owner_.finish_call(*this, "no response for " + std::to_string(static_cast<int>(timeout_)) + " ms");
    });
    timeout_ = within;
  }

  Discovery& owner_;
  bool watch_;
  HttpParser parser_;
  std::shared_ptr<event_loop::Stream> stream_;
  std::string list_text_;
  JsonObjectSplitter splitter_;
  event_loop::TimerId timer_{};
  event_loop::Millis timeout_ = 0, begun_at_ = owner_.loop_.now();
  bool request_sent_ = false, refused_ = false, closed_in_order_ = false;

  friend class Discovery;
};

Discovery::Discovery(event_loop::Loop& loop, coordination::RequestRouter& router, std::string address,
                     long long revision, event_loop::Millis connect_timeout)
    : loop_(loop),
      router_(router),
      address_(std::move(address)),
      revision_(revision),
      connect_timeout_(4 * connect_timeout) {}

Discovery::~Discovery() {
  stop(watching_);
  stop(fetching_);
}

void Discovery::stop(std::shared_ptr<Call>& slot) {
  if (!slot) return;
  if (slot->stream_) slot->stream_->close();
  loop_.cancel(slot->timer_);
  loop_.destroy_later(std::exchange(slot, nullptr));
}

void Discovery::start(std::shared_ptr<Call>& slot, bool watch) {
  stop(slot);
  slot = std::make_shared<Call>(*this, watch);
  if (!slot->begin()) finish_call(*slot, "no connection started");
}

void Discovery::watch(bool on) {
  watch_wanted_ = on;
  if (!on) return stop(watching_);
  // A watch without an answer yet already serves this request.
  if (watching_ && !watching_->answered_) return;
  if (watching_)
    spdlog::warn("discovery watch silent or moved, reopened after {:.0f} ms",
                 loop_.now() - watching_->begun_at_);
  start(watching_, true);
}

// The old service may keep its watch open without sending updates, so that drains would be missed. The new
// watch asks for changes after the current revision, so that no update is lost.
void Discovery::move(const std::string& address) {
  if (address == address_) return;
  address_ = address;
  stop(watching_);
  if (watch_wanted_) router_.on_list_service_moved();
  if (fetching_) start(fetching_, false);
}

void Discovery::fetch() { start(fetching_, false); }

// The current list stays in use; the decision module retries with backoff.
void Discovery::finish_call(Call& call, const std::string& why) {
  auto& slot = call.watch_call() ? watching_ : fetching_;
  if (slot.get() != &call) return;
  event_loop::Millis lasted = loop_.now() - call.begun_at_;
  CallEnd end = call.closed_in_order_ ? CallEnd::ended
                : call.request_sent_  ? CallEnd::failed
                : call.refused_       ? CallEnd::refused
                                      : CallEnd::unresponsive;
  stop(slot);
  if (why.empty()) return;
  spdlog::warn("discovery call failed: {}, after {:.0f} ms", why, lasted);
  router_.update_endpoints(Kind::failed, {}, end);
}

void Discovery::on_update(Call& call, const std::string& text) {
  MemberList list;
  if (!trim(text).empty()) {
    auto read = read_members(text);
    if (!read) return finish_call(call, "malformed endpoint list");
    list = std::move(*read);
    revision_ = list.revision;
    spdlog::info("discovery revision {}: {} {}", list.revision, list.members.size(),
                 list.complete ? "servers, whole list" : "changes");
  }
  call.answered_ = true;
  router_.update_endpoints(list.complete ? Kind::complete : Kind::changes, list.members, CallEnd::failed,
                           list.revision);
}

}  // namespace winchhall::http
