// One HTTP/2 connection (RFC 9113) for gRPC calls: nghttp2 encodes and decodes, the event loop does the I/O.
#pragma once

#include <nghttp2/nghttp2.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "aggregator/event_loop/stream.hpp"

namespace winchhall::flight {

using Headers = std::vector<std::pair<std::string, std::string>>;
// The value of the first header of that name, or null. The result points into `headers`.
const std::string* find_header(const Headers& headers, std::string_view name);

using StreamId = std::int32_t;

// Owned by its Handler, which must outlive it. After on_disconnected() no method of the handler is called;
// after close() at most those for bytes that are being decoded. Not thread-safe.
class Http2Connection : public event_loop::Stream::Owner {
 public:
  enum class Side { client, server };

  // Events for the owner, called on the event loop's thread.
  class Handler {
   public:
    virtual void on_connected() {}
    // A block of headers: the first of a stream, or its trailers.
    virtual void on_headers(StreamId stream, const Headers& headers) = 0;
    virtual void on_data(StreamId stream, std::string_view bytes) = 0;
    // The peer has ended its side of the stream.
    virtual void on_end_stream(StreamId stream) = 0;
    // Both sides have ended, or one has reset the stream: `error` is the HTTP/2 error code.
    virtual void on_stream_closed(StreamId stream, std::uint32_t error) = 0;
    virtual void on_goaway() {}
    // The connection is over; streams that are still open are lost.
    virtual void on_disconnected() = 0;

   protected:
    ~Handler() = default;
  };

  Http2Connection(event_loop::Loop& loop, Handler& handler, Side side);
  ~Http2Connection();
  Http2Connection(const Http2Connection&) = delete;
  Http2Connection& operator=(const Http2Connection&) = delete;

  // Takes over an accepted socket.
  void adopt(event_loop::UniqueFd fd);
  // False if no socket was available; any later failure is reported by on_disconnected().
  bool connect(const sockaddr_in& to);
  void close();
  // Reads what has arrived by now, without waiting for the event loop.
  void read_arrived() { stream_->read_now(); }
  bool open() const { return stream_ && stream_->open(); }

  // What is submitted is sent by the next send_pending(). Returns the new stream, or a negative error code of
  // nghttp2.
  StreamId submit_request(const Headers& headers, std::string body);
  // Ends the stream with `trailers`. With an empty body they are sent in one block with the headers.
  void submit_response(StreamId stream, const Headers& headers, std::string body, const Headers& trailers);
  void reset_stream(StreamId stream, std::uint32_t error);
  // GOAWAY: open streams are finished, and no new ones are accepted.
  void send_goaway();
  // Passes encoded frames to the socket, up to a limit of unsent bytes.
  void send_pending();

  // Whether the kernel has accepted everything that was sent on the stream.
  bool is_written(StreamId stream) const;
  // Whether the connection was ended because the peer's bytes aren't valid HTTP/2.
  bool has_protocol_error() const { return protocol_error_; }
  std::size_t unsent() const { return stream_ ? stream_->unsent() : 0; }

  void connected() override;
  void received(std::string& in) override;
  void drained() override { send_pending(); }
  void ended() override;

 private:
  // The body and trailers of one stream that are being sent.
  struct Outgoing {
    std::string body;
    std::size_t sent = 0;  // bytes of the body given to the codec
    Headers trailers;
    bool has_trailers = false, is_complete = false;
    // Offset of the end of its last byte among all bytes queued on the connection; 0: not known yet.
    std::uint64_t end_offset = 0;
  };
  nghttp2_session_callbacks* create_callbacks();
  static int on_header(nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name,
                       std::size_t name_size, const std::uint8_t* value, std::size_t value_size,
                       std::uint8_t flags, void* self);
  static int on_frame(nghttp2_session*, const nghttp2_frame* frame, void* self);
  static int on_data_chunk(nghttp2_session*, std::uint8_t flags, StreamId stream, const std::uint8_t* bytes,
                           std::size_t size, void* self);
  static int on_stream_close(nghttp2_session*, StreamId stream, std::uint32_t error, void* self);
  static ssize_t read_body(nghttp2_session* session, StreamId stream, std::uint8_t* to, std::size_t capacity,
                           std::uint32_t* flags, nghttp2_data_source* source, void* self);
  nghttp2_data_provider body_provider();
  void fail();

  event_loop::Loop& loop_;
  Handler& handler_;
  nghttp2_session* session_ = nullptr;
  std::shared_ptr<event_loop::Stream> stream_;
  std::map<StreamId, Outgoing> outgoing_;
  std::map<StreamId, Headers> incoming_headers_;  // of incomplete header blocks
  bool is_in_codec_ = false, is_closed_ = false, protocol_error_ = false;
};

}  // namespace winchhall::flight
