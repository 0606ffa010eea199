// Reserves a loopback network for one cluster among the clusters of this machine.
#pragma once

namespace winchhall::testbed::cluster {

// Holds a number that no other process of this machine holds by this class, until it is destroyed.
class NetworkReservation {
 public:
  // Reserves the first free number of `first`, `first` + 1, ..., `last`, 1, ..., `first` - 1. Throws
  // std::system_error if none is free.
  NetworkReservation(unsigned first, unsigned last);
  ~NetworkReservation();
  NetworkReservation(const NetworkReservation&) = delete;
  NetworkReservation& operator=(const NetworkReservation&) = delete;

  unsigned number() const { return number_; }

 private:
  // Returns false if another process holds the number.
  bool try_reserve(unsigned number);

  unsigned number_ = 0;
  int lock_file_ = -1;
};

}  // namespace winchhall::testbed::cluster
