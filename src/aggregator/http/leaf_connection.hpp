// One connection of the pool to a leaf: the parts that wait for it, those out on it, and what comes back.
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

class LeafPool::Connection final : public event_loop::Stream::Owner {
 public:
  Connection(LeafPool& pool, std::string server, std::string endpoint);

  bool begin();
  void add(Call call);
  void probe();
  void abandon(coordination::AttemptNumber attempt);
  bool recall(coordination::AttemptNumber attempt);  // false if something of it was written
  std::vector<Call> take_waiting();                  // all of which nothing was written
  void close();                                      // it brings nothing more
  std::shared_ptr<event_loop::Stream> linger();

  bool goes_to(const std::string& server, const std::string& endpoint) const {
    return server_ == server && endpoint_ == endpoint;
  }
  bool takes(const coordination::AttemptRequest& order, std::size_t parts) const {
    return !retired_ && goes_to(order.server, order.endpoint) && stream_->usable() &&
           live_.size() + parts <= pool_.limits_.max_parts_per_connection && !by_part_.count(order.part);
  }
  bool up() const { return !stream_->connecting(); }
  bool idle() const { return live_.empty() && probes_.empty(); }
  bool idle_since(event_loop::Millis when) const { return idle() && used_at_ <= when; }
  void look() { stream_->read_now(); }  // has its end been coming?
  void retire() { retired_ = true; }
  bool retired() const { return retired_; }
  std::size_t live() const { return live_.size(); }
  const std::string& server() const { return server_; }
  const std::string& endpoint() const { return endpoint_; }

  void connected() override;
  void drained() override { pump(); }
  void received(std::string& in) override;
  void ended() override { over(coordination::Outcome::connect_failed); }

 private:
  struct Live {
    std::string part;
    std::uint64_t frame_end;  // where its frame ends in all that was ever queued here; 0: not serialized
    event_loop::Millis written_at;
    bool span;  // a part of a span, which its leaf may say not to have
  };

  bool requests_span(const std::string& part) const;
  void pump();
  void late();
  bool take(PartAnswer& answer);
  void complain(const std::string& words);
  void over(coordination::Outcome unwritten);
  void refuse(const std::string& what, const std::string& part = "");
  void not_sent(const coordination::AttemptRequest& order);

  const std::string server_, endpoint_;
  LeafPool& pool_;
  std::shared_ptr<event_loop::Stream> stream_;
  event_loop::TimerId connect_timer_{}, late_timer_{}, frame_timer_{};
  std::deque<Call> waiting_;
  std::map<coordination::AttemptNumber, Live> live_;
  std::unordered_map<std::string, coordination::AttemptNumber> by_part_;  // 0: given up, answer not seen
  std::deque<event_loop::Millis> probes_;
  event_loop::Millis used_at_;
  coordination::UnresponsivenessDetector unresponsiveness_;
  bool retired_ = false;
};

}  // namespace winchhall::http
