#include "aggregator/membership/discovery.hpp"

#include <spdlog/spdlog.h>

#include "aggregator/membership/members.hpp"

namespace winchhall::platform {
namespace {
using winchhall::CallEnd;
using Kind = winchhall::ServerList::Kind;
// ms until a call's first line: a call waits in its turn for 2 s at the most before the service fails it.
constexpr net::Millis kFirstAnswer = 2200;
constexpr std::size_t kLineMost = 4 * 1024 * 1024;
}  // namespace

class Discovery::Call : public net::Stream::Owner, public std::enable_shared_from_this<Call> {
 public:
  Call(Discovery& owner, bool watch) : owner_(owner), watch_(watch), parser_(HttpParser::Mode::streamed) {}

  bool begin() {
    auto to = net::parse_address(owner_.address_);
    int error = 0;
    if (to) stream_ = net::Stream::connect(owner_.loop_, *to, *this, error);
    expect(owner_.connect_timeout_);
    return static_cast<bool>(stream_);
  }
  void connected() override {
    std::string target = "/v1/endpoints";
    if (watch_) target += "?watch=1&after=" + std::to_string(owner_.revision_);
    asked_ = true;
    stream_->write("GET " + target + " HTTP/1.1\r\nHost: " + owner_.address_ + "\r\n\r\n");
    expect(kFirstAnswer);
  }
  void received(std::string& in) override {
    parser_.feed(in);
    HttpMessage& m = parser_.message();
    if (parser_.failed()) return owner_.over(*this, "an answer that cannot be read");
    if (parser_.head_done() && m.status != 200)
      return owner_.over(*this, "status " + std::to_string(m.status));
    if (!parser_.head_done()) return;
    if (watch_) return read_watch(m.body);
    whole_ += std::exchange(m.body, {});
    if (whole_.size() > kLineMost) return owner_.over(*this, "a list too long");
    if (stream_->open() && parser_.done()) finish("");
  }
  void ended() override {
    // Before the head was written nobody is there, or nobody takes us in; after that it hung up.
    const char* how = !asked_ ? "no connection" : answered_ ? "the watch ended" : "closed without an answer";
    if (!asked_) refused_ = stream_->refused();
    // Half a line is half of what there was to tell.
    ended_ = answered_ && !stream_->reset() && cutter_.held() == 0;
    parser_.ended(stream_->reset());
    finish(how);
  }

  bool watch_call() const { return watch_; }
  bool answered_ = false;

 private:
  // Objects, each on a line of its own or indented over several, and an empty line every 2 s.
  void read_watch(std::string& body) {
    cutter_.feed(std::exchange(body, {}));
    std::string object;
    for (ObjectCutter::Piece piece;
         stream_->open() && (piece = cutter_.next(object)) != ObjectCutter::Piece::none;) {
      if (piece == ObjectCutter::Piece::bad) return owner_.over(*this, "what is no list");
      owner_.exchange_.list_heard();
      if (!answered_ || piece == ObjectCutter::Piece::object) owner_.told(*this, object);
      // From here on the module minds the watch: it knows when silence is one.
      if (stream_->open()) owner_.loop_.cancel(timer_);
    }
    if (cutter_.held() > kLineMost) return owner_.over(*this, "a list too long");
    if (!stream_->open() || !parser_.done()) return;
    ended_ = answered_ && cutter_.held() == 0;
    finish("the watch ended");
  }
  void finish(const std::string& how) {
    if (!watch_ && parser_.done()) owner_.told(*this, whole_ + parser_.message().body);
    owner_.over(*this, watch_ || !answered_ ? how : "");
  }
  void expect(net::Millis within) {
    owner_.loop_.cancel(timer_);
    timer_ = owner_.loop_.at(owner_.loop_.now() + within, [this] {
      owner_.over(*this, "silent for " + std::to_string(static_cast<int>(timed_)) + " ms");
    });
    timed_ = within;
  }

  Discovery& owner_;
  bool watch_;
  HttpParser parser_;
  std::shared_ptr<net::Stream> stream_;
  std::string whole_;
  ObjectCutter cutter_;
  net::TimerId timer_{};
  net::Millis timed_ = 0, begun_at_ = owner_.loop_.now();
  bool asked_ = false, refused_ = false, ended_ = false;

  friend class Discovery;
};

Discovery::Discovery(net::Loop& loop, core::Exchange& exchange, std::string address, long long revision,
                     net::Millis connect_timeout)
    : loop_(loop),
      exchange_(exchange),
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
  if (!slot->begin()) over(*slot, "no socket");
}

void Discovery::watch(bool on) {
  wanted_ = on;
  if (!on) return stop(watching_);
  // A call without an answer yet is this call too.
  if (watching_ && !watching_->answered_) return;
  if (watching_)
    spdlog::warn("discovery watch silent or moved, asked anew after {:.0f} ms",
                 loop_.now() - watching_->begun_at_);
  start(watching_, true);
}

// Guards against drains that are missed: the old service goes on holding its watch for a while and tells
// nothing any more. The new watch asks for what changed after the revision held, so nothing is lost between.
void Discovery::move(const std::string& address) {
  if (address == address_) return;
  address_ = address;
  stop(watching_);
  if (wanted_) exchange_.list_moved();
  if (fetching_) start(fetching_, false);
}

void Discovery::fetch() { start(fetching_, false); }

// The list that is held stays; the module asks again, each time a little later.
void Discovery::over(Call& call, const std::string& why) {
  auto& slot = call.watch_call() ? watching_ : fetching_;
  if (slot.get() != &call) return;
  net::Millis lasted = loop_.now() - call.begun_at_;
  CallEnd end = call.ended_     ? CallEnd::ended
                : call.asked_   ? CallEnd::failed
                : call.refused_ ? CallEnd::refused
                                : CallEnd::silent;
  stop(slot);
  if (why.empty()) return;
  spdlog::warn("discovery call failed: {}, after {:.0f} ms", why, lasted);
  exchange_.list(Kind::failed, {}, end);
}

void Discovery::told(Call& call, const std::string& text) {
  MemberList list;
  if (!trim(text).empty()) {
    auto read = read_members(text);
    if (!read) return over(call, "a list that cannot be read");
    list = std::move(*read);
    revision_ = list.revision;
    spdlog::info("discovery revision {}: {} {}", list.revision, list.members.size(),
                 list.complete ? "servers, whole list" : "changes");
  }
  call.answered_ = true;
  exchange_.list(list.complete ? Kind::complete : Kind::changes, list.members, CallEnd::failed,
                 list.revision);
}

}  // namespace winchhall::platform
