// RAII for NNG messages, and the error type of NNG calls.
#pragma once

#include <nng/nng.h>

#include <cstddef>
#include <string>
#include <utility>

namespace winchhall::cluster {

// Largest message that a socket accepts, in bytes. Larger ones are dropped by the receiving socket.
inline constexpr std::size_t kMaxMessageBytes = 16u << 20;

// Owns an NNG message. Movable, not copyable; may be empty.
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

  // A message with this body and an empty header. Empty if memory is exhausted.
  static NngMessage with_body(const std::string& body);

  nng_msg* get() const { return message_; }
  // Passes ownership to the caller.
  nng_msg* release() { return std::exchange(message_, nullptr); }
  explicit operator bool() const { return message_ != nullptr; }

 private:
  nng_msg* message_ = nullptr;
};

// An NNG call failed. `code` is an nng_errno; see nng_strerror.
struct NngFailure {
  std::string operation;
  int code = 0;
};

}  // namespace winchhall::cluster
