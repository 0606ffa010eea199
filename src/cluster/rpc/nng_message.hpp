// Thin owners of NNG sockets and messages.
#pragma once

#include <nng/nng.h>

#include <cstddef>
#include <string>
#include <utility>

namespace winchhall::cluster {

// The largest message that a socket takes, in bytes; longer ones are dropped.
inline constexpr std::size_t kMaxMessageBytes = 16u << 20;

// Owns an NNG message.
class NngMessage {
 public:
  NngMessage() = default;
  explicit NngMessage(nng_msg* message) : message_(message) {}
  NngMessage(NngMessage&& other) noexcept : message_(std::exchange(other.message_, nullptr)) {}
  NngMessage& operator=(NngMessage&& other) noexcept {
    std::swap(message_, other.message_);
    return *this;
  }
  ~NngMessage() {
    if (message_) nng_msg_free(message_);
  }
  static NngMessage with_body(const std::string& body);

  nng_msg* get() const { return message_; }
  nng_msg* release() { return std::exchange(message_, nullptr); }
  explicit operator bool() const { return message_ != nullptr; }

 private:
  nng_msg* message_ = nullptr;
};

// An NNG call that failed; `code` as documented by nng_errno.
struct NngFailure {
  std::string operation;
  int code = 0;
};

}  // namespace winchhall::cluster
