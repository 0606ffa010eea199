#include "aggregator/flight/http2.hpp"

#include <algorithm>
#include <cstring>

namespace winchhall::flight {
namespace {

constexpr std::size_t kOutMost = 256 * 1024;  // bytes ready ahead of a peer that reads slowly
constexpr std::uint32_t kStreamsMost = 100;   // calls at once that a client may have on a connection
constexpr std::uint32_t kHeadersMost = 16 * 1024;
constexpr int kWindow = 1024 * 1024;

std::vector<nghttp2_nv> pairs(const Headers& headers) {
  std::vector<nghttp2_nv> list;
  for (const auto& [name, value] : headers)
    list.push_back({reinterpret_cast<std::uint8_t*>(const_cast<char*>(name.data())),
                    reinterpret_cast<std::uint8_t*>(const_cast<char*>(value.data())), name.size(),
                    value.size(), NGHTTP2_NV_FLAG_NONE});
  return list;
}

}  // namespace

const std::string* find_header(const Headers& headers, std::string_view name) {
  for (const auto& [key, value] : headers)
    if (key == name) return &value;
  return nullptr;
}

Http2::Http2(net::Loop& loop, Handler& handler, bool server)
    : loop_(loop), handler_(handler), server_(server) {
  nghttp2_session_callbacks* calls = nullptr;
  nghttp2_session_callbacks_new(&calls);
  nghttp2_session_callbacks_set_on_header_callback(
      calls, [](nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name, std::size_t name_size,
                const std::uint8_t* value, std::size_t value_size, std::uint8_t, void* self) {
        Headers& list = static_cast<Http2*>(self)->gathering_[frame->hd.stream_id];
        std::size_t held = 0;
        for (const auto& [k, v] : list) held += k.size() + v.size();
        if (held + name_size + value_size > kHeadersMost) return int{NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE};
        list.emplace_back(std::string(reinterpret_cast<const char*>(name), name_size),
                          std::string(reinterpret_cast<const char*>(value), value_size));
        return 0;
      });
  nghttp2_session_callbacks_set_on_frame_recv_callback(
      calls, [](nghttp2_session*, const nghttp2_frame* frame, void* context) {
        auto* self = static_cast<Http2*>(context);
        std::int32_t id = frame->hd.stream_id;
        if (frame->hd.type == NGHTTP2_HEADERS)
          self->handler_.head(id, std::exchange(self->gathering_[id], {}));
        if (frame->hd.type == NGHTTP2_GOAWAY) self->handler_.going_away();
        if ((frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA) &&
            (frame->hd.flags & NGHTTP2_FLAG_END_STREAM))
          self->handler_.peer_done(id);
        return 0;
      });
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
      calls, [](nghttp2_session*, std::uint8_t, std::int32_t id, const std::uint8_t* bytes, std::size_t size,
                void* self) {
        static_cast<Http2*>(self)->handler_.data(id, {reinterpret_cast<const char*>(bytes), size});
        return 0;
      });
  nghttp2_session_callbacks_set_on_stream_close_callback(
      calls, [](nghttp2_session*, std::int32_t id, std::uint32_t error, void* context) {
        auto* self = static_cast<Http2*>(context);
        self->handler_.closed(id, error);
        self->sending_.erase(id);
        self->gathering_.erase(id);
        return 0;
      });
  if (server)
    nghttp2_session_server_new(&session_, calls, this);
  else
    nghttp2_session_client_new(&session_, calls, this);
  nghttp2_session_callbacks_del(calls);
  nghttp2_settings_entry settings[] = {{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, kStreamsMost},
                                       {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, kHeadersMost},
                                       {NGHTTP2_SETTINGS_ENABLE_PUSH, 0}};
  nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings, server ? 2 : 3);
  nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0, kWindow);
}

Http2::~Http2() {
  close();
  nghttp2_session_del(session_);
}

void Http2::adopt(net::UniqueFd fd) {
  stream_ = net::Stream::adopt(loop_, std::move(fd), *this);
  pump();
}

bool Http2::connect(const sockaddr_in& to) {
  int error = 0;
  stream_ = net::Stream::connect(loop_, to, *this, error);
  return static_cast<bool>(stream_);
}

void Http2::close() {
  over_ = true;
  if (stream_) stream_->close();
}

void Http2::connected() {
  handler_.up();
  pump();
}

void Http2::received(std::string& in) {
  std::string bytes = std::exchange(in, {});
  pumping_ = true;  // the codec must not be asked for bytes from inside its own callbacks
  ssize_t n =
      nghttp2_session_mem_recv(session_, reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
  pumping_ = false;
  if (over_) return;
  if (n < 0) return fail();
  pump();
}

void Http2::ended() {
  if (std::exchange(over_, true)) return;
  handler_.down();
}

void Http2::fail() {
  spoilt_ = true;
  if (stream_) stream_->close();
  ended();
}

void Http2::pump() {
  if (pumping_ || !open() || stream_->connecting()) return;
  pumping_ = true;
  while (open() && stream_->unsent() < kOutMost) {
    const std::uint8_t* bytes = nullptr;
    ssize_t n = nghttp2_session_mem_send(session_, &bytes);
    if (n <= 0) break;
    std::uint64_t end = stream_->queued() + static_cast<std::uint64_t>(n);
    for (auto& [id, s] : sending_)
      if (s.finished && s.end == 0) s.end = end;
    stream_->write({reinterpret_cast<const char*>(bytes), static_cast<std::size_t>(n)});
  }
  pumping_ = false;
  if (open() && stream_->unsent() == 0 && !nghttp2_session_want_read(session_) &&
      !nghttp2_session_want_write(session_)) {
    spoilt_ = true;  // where calls are still out: the codec gave the session up over what it read
    stream_->close();
    loop_.defer([this, alive = std::weak_ptr<net::Stream>(stream_)] {
      if (alive.lock()) ended();
    });
  }
}

bool Http2::written(std::int32_t stream) const {
  auto it = sending_.find(stream);
  return it != sending_.end() && it->second.end > 0 && it->second.end <= stream_->flushed();
}

ssize_t Http2::read_body(nghttp2_session* session, std::int32_t stream, std::uint8_t* to, std::size_t most,
                         std::uint32_t* flags, nghttp2_data_source*, void* context) {
  auto* self = static_cast<Http2*>(context);
  auto it = self->sending_.find(stream);
  if (it == self->sending_.end()) return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
  Sending& s = it->second;
  std::size_t n = std::min(most, s.body.size() - s.at);
  if (n > 0) std::memcpy(to, s.body.data() + s.at, n);
  s.at += n;
  if (s.at == s.body.size()) {
    *flags |= NGHTTP2_DATA_FLAG_EOF;
    s.finished = true;
    if (s.has_trailers) {
      *flags |= NGHTTP2_DATA_FLAG_NO_END_STREAM;
      auto list = pairs(s.trailers);
      nghttp2_submit_trailer(session, stream, list.data(), list.size());
    }
  }
  return static_cast<ssize_t>(n);
}

nghttp2_data_provider Http2::provider() {
  nghttp2_data_provider p;
  p.source.ptr = nullptr;
  p.read_callback = read_body;
  return p;
}

std::int32_t Http2::request(const Headers& headers, std::string body) {
  auto list = pairs(headers);
  auto from = provider();
  std::int32_t id = nghttp2_submit_request(session_, nullptr, list.data(), list.size(), &from, nullptr);
  if (id > 0) sending_[id].body = std::move(body);
  return id;
}

void Http2::respond(std::int32_t stream, const Headers& headers, std::string body, const Headers& trailers) {
  if (body.empty()) {
    Headers all = headers;
    all.insert(all.end(), trailers.begin(), trailers.end());
    auto list = pairs(all);
    nghttp2_submit_response(session_, stream, list.data(), list.size(), nullptr);
    return;
  }
  Sending& s = sending_[stream];
  s.body = std::move(body);
  s.trailers = trailers;
  s.has_trailers = true;
  auto list = pairs(headers);
  auto from = provider();
  nghttp2_submit_response(session_, stream, list.data(), list.size(), &from);
}

void Http2::reset(std::int32_t stream, std::uint32_t error) {
  nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, stream, error);
}

void Http2::shut_down() {
  nghttp2_submit_goaway(session_, NGHTTP2_FLAG_NONE, nghttp2_session_get_last_proc_stream_id(session_),
                        NGHTTP2_NO_ERROR, nullptr, 0);
  pump();
}

}  // namespace winchhall::flight
