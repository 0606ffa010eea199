// Keys of the records in a service's shard. Stored data: they must not change.
#pragma once

#include <string>
#include <string_view>

namespace winchhall::cluster::scheduling {

inline constexpr std::string_view kJobKeyPrefix = "job/";              // JobRecord, by job ID
inline constexpr std::string_view kProgressKeyPrefix = "progress/";    // ProgressRecord, by job ID
inline constexpr std::string_view kWorkerKeyPrefix = "worker/";        // WorkerRecord, by leaf ID
inline constexpr std::string_view kTombstoneKeyPrefix = "tombstone/";  // JobTombstoneRecord, by job ID

inline std::string job_key(const std::string& job_id) { return std::string(kJobKeyPrefix) + job_id; }
inline std::string progress_key(const std::string& job_id) {
  return std::string(kProgressKeyPrefix) + job_id;
}
inline std::string worker_key(const std::string& leaf_id) { return std::string(kWorkerKeyPrefix) + leaf_id; }
inline std::string tombstone_key(const std::string& job_id) {
  return std::string(kTombstoneKeyPrefix) + job_id;
}

}  // namespace winchhall::cluster::scheduling
