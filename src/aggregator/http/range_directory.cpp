#include "aggregator/http/range_directory.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "aggregator/http/http.hpp"
#include "aggregator/http/range_protocol.hpp"

namespace winchhall::http {
namespace {
using ranges::UpdateResult;
constexpr event_loop::Millis kFirstLineTimeout = 3000;     // ms from the request to the first line
constexpr event_loop::Millis kSilenceCheckInterval = 500;  // ms between checks for a silent watch
constexpr std::size_t kMaxLineBytes = 16 * 1024 * 1024;    // a page of ranges is smaller; more is an error
}  // namespace

class RangeDirectory::Watch : public event_loop::Stream::Owner {
 public:
  explicit Watch(RangeDirectory& owner) : owner_(owner), parser_(HttpParser::Mode::streamed) {}

  bool start(std::string target) {
    target_ = std::move(target);
    auto to = event_loop::parse_address(owner_.address_);
    int error = 0;
    if (to) stream_ = event_loop::Stream::connect(owner_.loop_, *to, *this, error);
    set_timeout(owner_.limits_.connect_timeout, "connect timeout");
    return static_cast<bool>(stream_);
  }
  void close() {
    owner_.loop_.cancel(timer_);
    if (stream_) stream_->close();
  }
  void connected() override {
    stream_->write("GET " + target_ + " HTTP/1.1\r\nHost: " + owner_.address_ + "\r\n\r\n");
    set_timeout(kFirstLineTimeout, "no response within 3 s");
  }
  void received(std::string& in) override {
    parser_.feed(in);
    HttpMessage& m = parser_.message();
    if (parser_.failed()) return owner_.on_watch_ended("malformed response");
    if (!parser_.head_done()) return;
    if (m.status != 200) return owner_.on_watch_ended("status " + std::to_string(m.status));
    owner_.loop_.cancel(timer_);
    std::size_t at = 0, end;
    while (stream_->open() && (end = m.body.find('\n', std::max(at, searched_bytes_))) != std::string::npos) {
      std::string line = m.body.substr(at, end - at);
      at = end + 1;
      searched_bytes_ = 0;
      owner_.on_line(line);
    }
    m.body.erase(0, at);
    searched_bytes_ = m.body.size();
    if (m.body.size() > kMaxLineBytes) return owner_.on_watch_ended("line longer than 16 MiB");
    if (stream_->open() && parser_.done()) owner_.on_watch_ended("closed by the directory");
  }
  void ended() override { owner_.on_watch_ended("connection lost or refused"); }

 private:
  void set_timeout(event_loop::Millis within, const char* what) {
    owner_.loop_.cancel(timer_);
    timer_ = owner_.loop_.run_at(owner_.loop_.now() + within, [this, what] {
      timer_ = {};
      owner_.on_watch_ended(what);
    });
  }

  RangeDirectory& owner_;
  HttpParser parser_;
  std::shared_ptr<event_loop::Stream> stream_;
  std::string target_;
  std::size_t searched_bytes_ = 0;  // length of the body prefix known to contain no line end
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
  loop_.cancel(timer_);
  if (watch_) watch_->close();
}

void RangeDirectory::start() { run_due(); }

// xorshift64 (G. Marsaglia, "Xorshift RNGs", J. Stat. Softw. 8(14), 2003); only spreads requests over time.
double RangeDirectory::random_share() {
  seed_ ^= seed_ << 13;
  seed_ ^= seed_ >> 7;
  seed_ ^= seed_ << 17;
  return static_cast<double>(seed_ >> 11) * 0x1p-53;
}

void RangeDirectory::open_watch() {
  ++statistics_.requests;
  std::string target = "/v1/ranges?watch=1";
  ranges::Revision held = follower_.map().revision();
  if (!follower_.needs_full_map())
    target += "&incarnation=" + std::to_string(held.incarnation) + "&after=" + std::to_string(held.number);
  follower_.on_watch_opened(loop_.now());
  watch_ = std::make_shared<Watch>(*this);
  if (!watch_->start(target)) on_watch_ended("no connection started");
}

void RangeDirectory::refresh() {
  follower_.refresh(loop_.now());
  loop_.defer([this] { run_due(); });
}

void RangeDirectory::on_line(const std::string& line) {
  follower_.on_keepalive(loop_.now());
  if (trim(line).empty()) return;
  std::string fault;
  auto update = read_update(line, fault);
  if (!update) {
    ++statistics_.rejected;
    spdlog::warn("range directory: update rejected, current map stays in use: {}", fault);
    return on_watch_ended("malformed update");
  }
  ranges::Revision revision = update->revision;
  std::size_t changes = update->changes.size();
  UpdateResult taken = follower_.apply_update(std::move(*update), loop_.now());
  if (taken == UpdateResult::applied) {
    ++statistics_.updates;
    spdlog::debug("range directory: revision {} applied, {} ranges, {} changes", ranges::text_of(revision),
                  follower_.map().size(), changes);
    router_.update_ranges(follower_.map());
  } else if (taken != UpdateResult::unchanged && taken != UpdateResult::page) {
    ++statistics_.rejected;
    spdlog::warn("range directory: update rejected ({}), current map stays in use: {}", name_of(taken),
                 follower_.fault());
  }
  if (follower_.needs_reopen()) loop_.defer([this] { run_due(); });
}

// Closes the watch; the follower decides when the next one is opened.
void RangeDirectory::on_watch_ended(const std::string& why) {
  if (!watch_) return;
  watch_->close();
  loop_.destroy_later(std::exchange(watch_, nullptr));
  ++statistics_.failures;
  spdlog::warn("range directory: watch ended: {}; map revision {} stays in use", why,
               ranges::text_of(follower_.map().revision()));
  follower_.on_watch_lost(loop_.now(), random_share());
  loop_.defer([this] { run_due(); });
}

void RangeDirectory::run_due() {
  loop_.cancel(timer_);
  event_loop::Millis now = loop_.now();
  if (watch_ && follower_.keepalive_timed_out(now)) return on_watch_ended("no keepalive");
  if (watch_ && follower_.needs_reopen()) {
    watch_->close();
    loop_.destroy_later(std::exchange(watch_, nullptr));
    follower_.on_watch_closed(now, random_share());
  }
  if (!watch_ && now >= follower_.next_request_at()) open_watch();
  timer_ = loop_.run_at(watch_ ? now + kSilenceCheckInterval : std::max(now + 1, follower_.next_request_at()),
                        [this] { run_due(); });
}

}  // namespace winchhall::http
