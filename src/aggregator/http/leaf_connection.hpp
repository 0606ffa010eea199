// One connection of the pool to a leaf.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "aggregator/http/frames.hpp"
#include "aggregator/http/leaf_pool.hpp"

namespace winchhall::http {

// Queues batches, writes them once the connection is established and the previous one is in the kernel, and
// matches the responses to attempts. Owned by its pool.
class LeafPool::Connection final : public event_loop::Stream::Owner {
 public:
  Connection(LeafPool& pool, std::string server, std::string endpoint);

  bool start();  // false if no socket could be created
  void add(Batch batch);
  void probe();
  void abandon(coordination::AttemptNumber attempt);  // sends a cancellation if the part was written
  bool recall(coordination::AttemptNumber attempt);   // false if it was written already
  std::vector<Batch> take_queued();                   // removes and returns the batches not yet written
  void close();                                       // at once, without callbacks
  std::shared_ptr<event_loop::Stream> linger();       // begins a lingering close

  bool connects_to(const std::string& server, const std::string& endpoint) const {
    return server_ == server && endpoint_ == endpoint;
  }
  bool has_room_for(const coordination::AttemptRequest& request, std::size_t parts) const {
    return !retired_ && connects_to(request.server, request.endpoint) && stream_->usable() &&
           attempts_.size() + parts <= pool_.limits_.max_parts_per_connection &&
           !attempt_by_part_.count(request.part);
  }
  bool established() const { return !stream_->connecting(); }
  bool idle() const { return attempts_.empty() && probes_.empty(); }
  bool idle_since(event_loop::Millis when) const { return idle() && last_used_at_ <= when; }
  void read_arrived() { stream_->read_now(); }  // detects a close by the leaf
  void retire() { retired_ = true; }            // takes no further attempts
  bool retired() const { return retired_; }
  std::size_t attempt_count() const { return attempts_.size(); }
  const std::string& server() const { return server_; }
  const std::string& endpoint() const { return endpoint_; }

  void connected() override;
  void drained() override { write_queued(); }
  void received(std::string& in) override;
  void ended() override { fail_all(coordination::Outcome::connect_failed); }

 private:
  struct AttemptState {
    std::string part;
    std::uint64_t frame_end_offset;  // of all bytes ever queued on the stream; 0: not yet written
    event_loop::Millis written_at;
    bool span;  // a part of a span, which may be answered with kMisdirected
  };

  bool requests_span(const std::string& part) const;
  void write_queued();
  void on_connect_slow();
  bool complete_attempt(PartAnswer& answer);  // false if no attempt of that part is open here
  void on_frame_rejected(const std::string& message);
  // Ends all attempts after the connection was lost; those not completely written with the outcome
  // `unwritten`.
  void fail_all(coordination::Outcome unwritten);
  // Ends all attempts after a response that can't be used; `part`: whose response it was, where known.
  void on_protocol_error(const std::string& what, const std::string& part = "");
  void report_unsent(const coordination::AttemptRequest& request);

  const std::string server_, endpoint_;
  LeafPool& pool_;
  std::shared_ptr<event_loop::Stream> stream_;
  event_loop::TimerId connect_timer_{}, slow_connect_timer_{}, frame_timer_{};
  std::deque<Batch> queue_;
  std::map<coordination::AttemptNumber, AttemptState> attempts_;
  std::unordered_map<std::string, coordination::AttemptNumber>
      attempt_by_part_;                    // 0: abandoned, response still missing
  std::deque<event_loop::Millis> probes_;  // times of unanswered probes
  event_loop::Millis last_used_at_;
  coordination::UnresponsivenessDetector unresponsiveness_;
  bool retired_ = false;
};

}  // namespace winchhall::http
