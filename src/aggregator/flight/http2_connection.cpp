#include "aggregator/flight/http2_connection.hpp"

#include <algorithm>
#include <cstring>

namespace winchhall::flight {
namespace {

constexpr std::size_t kMaxUnsentBytes = 256 * 1024;   // buffered for a peer that reads slowly
constexpr std::uint32_t kMaxConcurrentStreams = 100;  // open calls of a client on one connection
constexpr std::uint32_t kMaxHeaderListBytes = 16 * 1024;
constexpr int kConnectionWindowBytes = 1024 * 1024;

// The result refers to `headers`. nghttp2 takes pointers to non-const bytes and doesn't change them.
std::vector<nghttp2_nv> to_name_values(const Headers& headers) {
  std::vector<nghttp2_nv> list;
  for (const auto& [name, value] : headers)
    list.push_back({reinterpret_cast<std::uint8_t*>(const_cast<char*>(name.data())),
                    reinterpret_cast<std::uint8_t*>(const_cast<char*>(value.data())), name.size(),
                    value.size(), NGHTTP2_NV_FLAG_NONE});
  return list;
}

std::size_t size_in_bytes(const Headers& headers) {
  std::size_t size = 0;
  for (const auto& [name, value] : headers) size += name.size() + value.size();
  return size;
}

}  // namespace

const std::string* find_header(const Headers& headers, std::string_view name) {
  for (const auto& [key, value] : headers)
    if (key == name) return &value;
  return nullptr;
}

Http2Connection::Http2Connection(event_loop::Loop& loop, Handler& handler, Side side)
    : loop_(loop), handler_(handler) {
  nghttp2_session_callbacks* callbacks = create_callbacks();
  if (side == Side::server)
    nghttp2_session_server_new(&session_, callbacks, this);
  else
    nghttp2_session_client_new(&session_, callbacks, this);
  nghttp2_session_callbacks_del(callbacks);
  nghttp2_settings_entry settings[] = {{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, kMaxConcurrentStreams},
                                       {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, kMaxHeaderListBytes},
                                       {NGHTTP2_SETTINGS_ENABLE_PUSH, 0}};
  // Only clients may send ENABLE_PUSH.
  nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings, side == Side::server ? 2 : 3);
  nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0, kConnectionWindowBytes);
}

Http2Connection::~Http2Connection() {
  close();
  nghttp2_session_del(session_);
}

// ---- Callbacks of the codec

nghttp2_session_callbacks* Http2Connection::create_callbacks() {
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session_callbacks_set_on_header_callback(callbacks, on_header);
  nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, on_frame);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, on_data_chunk);
  nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, on_stream_close);
  return callbacks;
}

int Http2Connection::on_header(nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name,
                               std::size_t name_size, const std::uint8_t* value, std::size_t value_size,
                               std::uint8_t, void* context) {
  auto* self = static_cast<Http2Connection*>(context);
  Headers& headers = self->incoming_headers_[frame->hd.stream_id];
  if (size_in_bytes(headers) + name_size + value_size > kMaxHeaderListBytes)
    return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
  headers.emplace_back(std::string(reinterpret_cast<const char*>(name), name_size),
                       std::string(reinterpret_cast<const char*>(value), value_size));
  return 0;
}

int Http2Connection::on_frame(nghttp2_session*, const nghttp2_frame* frame, void* context) {
  auto* self = static_cast<Http2Connection*>(context);
  const StreamId stream = frame->hd.stream_id;
  const bool has_headers = frame->hd.type == NGHTTP2_HEADERS;
  if (has_headers) self->handler_.on_headers(stream, std::exchange(self->incoming_headers_[stream], {}));
  if (frame->hd.type == NGHTTP2_GOAWAY) self->handler_.on_goaway();
  const bool may_end_stream = has_headers || frame->hd.type == NGHTTP2_DATA;
  if (may_end_stream && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM)) self->handler_.on_end_stream(stream);
  return 0;
}

int Http2Connection::on_data_chunk(nghttp2_session*, std::uint8_t, StreamId stream, const std::uint8_t* bytes,
                                   std::size_t size, void* context) {
  auto* self = static_cast<Http2Connection*>(context);
  self->handler_.on_data(stream, {reinterpret_cast<const char*>(bytes), size});
  return 0;
}

int Http2Connection::on_stream_close(nghttp2_session*, StreamId stream, std::uint32_t error, void* context) {
  auto* self = static_cast<Http2Connection*>(context);
  self->handler_.on_stream_closed(stream, error);
  self->outgoing_.erase(stream);
  self->incoming_headers_.erase(stream);
  return 0;
}

// ---- The socket

void Http2Connection::adopt(event_loop::UniqueFd fd) {
  stream_ = event_loop::Stream::adopt(loop_, std::move(fd), *this);
  send_pending();
}

bool Http2Connection::connect(const sockaddr_in& to) {
  int error = 0;
  stream_ = event_loop::Stream::connect(loop_, to, *this, error);
  return static_cast<bool>(stream_);
}

void Http2Connection::close() {
  is_closed_ = true;
  if (stream_) stream_->close();
}

void Http2Connection::connected() {
  handler_.on_connected();
  send_pending();
}

void Http2Connection::received(std::string& in) {
  std::string bytes = std::exchange(in, {});
  is_in_codec_ = true;  // the codec must not be asked for bytes from inside its own callbacks
  ssize_t consumed =
      nghttp2_session_mem_recv(session_, reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
  is_in_codec_ = false;
  if (is_closed_) return;
  if (consumed < 0) return fail();
  send_pending();
}

void Http2Connection::ended() {
  if (std::exchange(is_closed_, true)) return;
  handler_.on_disconnected();
}

void Http2Connection::fail() {
  protocol_error_ = true;
  if (stream_) stream_->close();
  ended();
}

void Http2Connection::send_pending() {
  if (is_in_codec_ || !open() || stream_->connecting()) return;
  is_in_codec_ = true;
  while (open() && stream_->unsent() < kMaxUnsentBytes) {
    const std::uint8_t* bytes = nullptr;
    ssize_t size = nghttp2_session_mem_send(session_, &bytes);
    if (size <= 0) break;
    const std::uint64_t end_offset = stream_->queued() + static_cast<std::uint64_t>(size);
    for (auto& [id, outgoing] : outgoing_)
      if (outgoing.is_complete && outgoing.end_offset == 0) outgoing.end_offset = end_offset;
    stream_->write({reinterpret_cast<const char*>(bytes), static_cast<std::size_t>(size)});
  }
  is_in_codec_ = false;
  const bool codec_is_done = !nghttp2_session_want_read(session_) && !nghttp2_session_want_write(session_);
  if (open() && stream_->unsent() == 0 && codec_is_done) {
    protocol_error_ = true;  // if calls are open: the codec has ended the session because of malformed input
    stream_->close();
    loop_.defer([this, alive = std::weak_ptr<event_loop::Stream>(stream_)] {
      if (alive.lock()) ended();
    });
  }
}

// ---- Streams

bool Http2Connection::is_written(StreamId stream) const {
  auto it = outgoing_.find(stream);
  return it != outgoing_.end() && it->second.end_offset > 0 && it->second.end_offset <= stream_->flushed();
}

ssize_t Http2Connection::read_body(nghttp2_session* session, StreamId stream, std::uint8_t* to,
                                   std::size_t capacity, std::uint32_t* flags, nghttp2_data_source*,
                                   void* context) {
  auto* self = static_cast<Http2Connection*>(context);
  auto it = self->outgoing_.find(stream);
  if (it == self->outgoing_.end()) return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
  Outgoing& outgoing = it->second;
  const std::size_t size = std::min(capacity, outgoing.body.size() - outgoing.sent);
  if (size > 0) std::memcpy(to, outgoing.body.data() + outgoing.sent, size);
  outgoing.sent += size;
  if (outgoing.sent == outgoing.body.size()) {
    *flags |= NGHTTP2_DATA_FLAG_EOF;
    outgoing.is_complete = true;
    if (outgoing.has_trailers) {
      *flags |= NGHTTP2_DATA_FLAG_NO_END_STREAM;
      auto trailers = to_name_values(outgoing.trailers);
      nghttp2_submit_trailer(session, stream, trailers.data(), trailers.size());
    }
  }
  return static_cast<ssize_t>(size);
}

nghttp2_data_provider Http2Connection::body_provider() {
  nghttp2_data_provider provider;
  provider.source.ptr = nullptr;
  provider.read_callback = read_body;
  return provider;
}

StreamId Http2Connection::submit_request(const Headers& headers, std::string body) {
  auto list = to_name_values(headers);
  auto provider = body_provider();
  StreamId stream = nghttp2_submit_request(session_, nullptr, list.data(), list.size(), &provider, nullptr);
  if (stream > 0) outgoing_[stream].body = std::move(body);
  return stream;
}

void Http2Connection::submit_response(StreamId stream, const Headers& headers, std::string body,
                                      const Headers& trailers) {
  if (body.empty()) {
    Headers all = headers;
    all.insert(all.end(), trailers.begin(), trailers.end());
    auto list = to_name_values(all);
    nghttp2_submit_response(session_, stream, list.data(), list.size(), nullptr);
    return;
  }
  Outgoing& outgoing = outgoing_[stream];
  outgoing.body = std::move(body);
  outgoing.trailers = trailers;
  outgoing.has_trailers = true;
  auto list = to_name_values(headers);
  auto provider = body_provider();
  nghttp2_submit_response(session_, stream, list.data(), list.size(), &provider);
}

void Http2Connection::reset_stream(StreamId stream, std::uint32_t error) {
  nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, stream, error);
}

void Http2Connection::send_goaway() {
  nghttp2_submit_goaway(session_, NGHTTP2_FLAG_NONE, nghttp2_session_get_last_proc_stream_id(session_),
                        NGHTTP2_NO_ERROR, nullptr, 0);
  send_pending();
}

}  // namespace winchhall::flight
