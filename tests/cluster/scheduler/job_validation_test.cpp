#include "cluster/scheduler/job_validation.hpp"

#include <catch2/catch.hpp>

namespace winchhall::cluster::scheduling {
namespace {

TEST_CASE("invalid jobs are rejected") {
  wire::JobSpec good;
  good.add_stages()->set_count(2);
  good.add_stages()->set_count(1);
  good.mutable_stages(1)->add_depends_on(0);
  CHECK(validate_job("a", good));
  wire::JobSpec spec;
  CHECK_FALSE(validate_job("a", spec));
  CHECK_FALSE(validate_job("", good));
  spec = good;
  spec.mutable_stages(0)->set_count(0);
  CHECK_FALSE(validate_job("a", spec));
  spec.mutable_stages(0)->set_count(10001);
  CHECK_FALSE(validate_job("a", spec));
  spec = good;
  spec.mutable_stages(1)->add_depends_on(1);
  CHECK_FALSE(validate_job("a", spec));
  spec = good;
  spec.set_spec(std::string(4001, 'x'));
  CHECK_FALSE(validate_job("a", spec));
}

}  // namespace
}  // namespace winchhall::cluster::scheduling
