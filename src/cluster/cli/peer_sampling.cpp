#include "cluster/cli/peer_sampling.hpp"

#include <nng/nng.h>

#include <string>

#include "cluster/common/log.hpp"

namespace winchhall::cluster {

PeerDescriptor own_descriptor(const NodeSettings& settings, PeerRole role) {
  return PeerDescriptor{settings.internal_address(), role, settings.zone, 0};
}

void listen_for_shuffles(Process& process, PeerSampler& sampler) {
  const RequestHandler handler = [&sampler](const wire::Envelope& request, const ReplyCallback& reply) {
    return sampler.handle(request, reply);
  };
  leaf::try_handle_all(
      [&] { return process.listen(process.settings().internal_address(), handler); },
      [&](const NngFailure& error) {
        const std::string reason = nng_strerror(error.code);
        log_event(LogLevel::warning, "listen_failed", {{"operation", error.operation}, {"reason", reason}});
        sampler.set_caller_only();
      },
      [&] { sampler.set_caller_only(); });
}

}  // namespace winchhall::cluster
