#include "aggregator/http/range_directory.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "aggregator/http/http.hpp"
#include "aggregator/http/range_protocol.hpp"

namespace winchhall::http {
namespace {
using ranges::UpdateResult;
constexpr event_loop::Millis kFirstAnswer = 3000;    // ms from the question to the first line
constexpr event_loop::Millis kPollInterval = 500;    // ms between looks for silence
constexpr std::size_t kLineMost = 16 * 1024 * 1024;  // bytes: a page of ranges; a longer line is a mistake
}  // namespace

class RangeDirectory::Watch : public event_loop::Stream::Owner {
 public:
  explicit Watch(RangeDirectory& owner) : owner_(owner), parser_(HttpParser::Mode::streamed) {}

  bool begin(std::string target) {
    target_ = std::move(target);
    auto to = event_loop::parse_address(owner_.address_);
    int error = 0;
    if (to) stream_ = event_loop::Stream::connect(owner_.loop_, *to, *this, error);
    expect(owner_.limits_.connect_timeout, "no connection in time");
    return static_cast<bool>(stream_);
  }
  void close() {
    owner_.loop_.cancel(timer_);
    if (stream_) stream_->close();
  }
  void connected() override {
    stream_->write("GET " + target_ + " HTTP/1.1\r\nHost: " + owner_.address_ + "\r\n\r\n");
    expect(kFirstAnswer, "no answer in time");
  }
  void received(std::string& in) override {
    parser_.feed(in);
    HttpMessage& m = parser_.message();
    if (parser_.failed()) return owner_.over("an answer that cannot be read");
    if (!parser_.head_done()) return;
    if (m.status != 200) return owner_.over("status " + std::to_string(m.status));
    owner_.loop_.cancel(timer_);
    std::size_t at = 0, end;
    while (stream_->open() && (end = m.body.find('\n', std::max(at, searched_))) != std::string::npos) {
      std::string line = m.body.substr(at, end - at);
      at = end + 1;
      searched_ = 0;
      owner_.told(line);
    }
    m.body.erase(0, at);
    searched_ = m.body.size();
    if (m.body.size() > kLineMost) return owner_.over("a line without an end");
    if (stream_->open() && parser_.done()) owner_.over("the watch ended");
  }
  void ended() override { owner_.over("the connection broke"); }

 private:
  void expect(event_loop::Millis within, const char* what) {
    owner_.loop_.cancel(timer_);
    timer_ = owner_.loop_.at(owner_.loop_.now() + within, [this, what] {
      timer_ = {};
      owner_.over(what);
    });
  }

  RangeDirectory& owner_;
  HttpParser parser_;
  std::shared_ptr<event_loop::Stream> stream_;
  std::string target_;
  std::size_t searched_ = 0;  // of the body, that has no end of a line
  event_loop::TimerId timer_{};
};

RangeDirectory::RangeDirectory(event_loop::Loop& loop, coordination::RequestRouter& router,
                               std::string address, Limits limits, std::uint64_t seed)
    : loop_(loop),
      router_(router),
      address_(std::move(address)),
      limits_(limits),
      follower_(limits.ranges),
      seed_(seed | 1) {}

RangeDirectory::~RangeDirectory() {
  loop_.cancel(tick_);
  if (watch_) watch_->close();
}

void RangeDirectory::start() { tick(); }

// xorshift64 (Marsaglia 2003): spreads questions in time, nothing more.
double RangeDirectory::chance() {
  seed_ ^= seed_ << 13;
  seed_ ^= seed_ >> 7;
  seed_ ^= seed_ << 17;
  return static_cast<double>(seed_ >> 11) * 0x1p-53;
}

void RangeDirectory::ask() {
  ++figures_.asked;
  std::string target = "/v1/ranges?watch=1";
  ranges::Revision held = follower_.map().revision();
  if (!follower_.needs_full_map())
    target += "&incarnation=" + std::to_string(held.incarnation) + "&after=" + std::to_string(held.number);
  follower_.on_watch_opened(loop_.now());
  watch_ = std::make_shared<Watch>(*this);
  if (!watch_->begin(target)) over("no socket");
}

void RangeDirectory::refresh() {
  follower_.refresh(loop_.now());
  loop_.defer([this] { tick(); });
}

void RangeDirectory::told(const std::string& line) {
  follower_.on_keepalive(loop_.now());
  if (trim(line).empty()) return;
  std::string fault;
  auto update = read_update(line, fault);
  if (!update) {
    ++figures_.refused;
    spdlog::warn("ranges refused, the old map stays: {}", fault);
    return over("a line that cannot be read");
  }
  ranges::Revision told = update->revision;
  std::size_t changes = update->changes.size();
  UpdateResult taken = follower_.apply_update(std::move(*update), loop_.now());
  if (taken == UpdateResult::applied) {
    ++figures_.taken;
    spdlog::debug("ranges revision {}: {} ranges, {} changes", ranges::text_of(told), follower_.map().size(),
                  changes);
    router_.update_ranges(follower_.map());
  } else if (taken != UpdateResult::unchanged && taken != UpdateResult::page) {
    ++figures_.refused;
    spdlog::warn("ranges refused ({}), the old map stays: {}", name_of(taken), follower_.fault());
  }
  if (follower_.needs_reopen()) loop_.defer([this] { tick(); });
}

// Ends the watch; the follower says when the next one begins.
void RangeDirectory::over(const std::string& why) {
  if (!watch_) return;
  watch_->close();
  loop_.destroy_later(std::exchange(watch_, nullptr));
  ++figures_.broken;
  spdlog::warn("directory of ranges: {}; revision {} serves on", why,
               ranges::text_of(follower_.map().revision()));
  follower_.on_watch_lost(loop_.now(), chance());
  loop_.defer([this] { tick(); });
}

void RangeDirectory::tick() {
  loop_.cancel(tick_);
  event_loop::Millis now = loop_.now();
  if (watch_ && follower_.keepalive_timed_out(now)) return over("silent");
  if (watch_ && follower_.needs_reopen()) {
    watch_->close();
    loop_.destroy_later(std::exchange(watch_, nullptr));
    follower_.on_watch_closed(now, chance());
  }
  if (!watch_ && now >= follower_.next_request_at()) ask();
  tick_ = loop_.at(watch_ ? now + kPollInterval : std::max(now + 1, follower_.next_request_at()),
                   [this] { tick(); });
}

}  // namespace winchhall::http
