#include "testbed/cluster/network_reservation.hpp"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <cerrno>
#include <filesystem>
#include <string>
#include <system_error>

namespace winchhall::testbed::cluster {

NetworkReservation::NetworkReservation(unsigned first, unsigned last) {
  for (unsigned step = 0; step < last; ++step)
    if (try_reserve(1 + (first - 1 + step) % last)) return;
  throw std::system_error(EADDRINUSE, std::generic_category(), "no loopback network is free");
}

NetworkReservation::~NetworkReservation() { close(lock_file_); }

// The system releases the lock when the process ends, however it ends.
bool NetworkReservation::try_reserve(unsigned number) {
  const auto path =
      std::filesystem::temp_directory_path() / ("winchhall-cluster-network-" + std::to_string(number));
  const int file = open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0666);
  if (file < 0) return false;
  if (flock(file, LOCK_EX | LOCK_NB) != 0) {
    close(file);
    return false;
  }
  number_ = number;
  lock_file_ = file;
  return true;
}

}  // namespace winchhall::testbed::cluster
