// Commands that show the state of the control group: `members`, `leader`, `status` and `top`.
#include <boost/json.hpp>
#include <chrono>
#include <thread>

#include "cluster/cli/leader_calls.hpp"
#include "cluster/cli/operator_commands.hpp"
#include "cluster/cli/text_table.hpp"

namespace winchhall::cluster {

namespace {

constexpr Millis kMemberTimeout{1000};

// A member of the control group and the status that it reports; no status if it did not respond.
struct MemberView {
  MemberInfo member;
  std::optional<StatusResponse> status;
};

leaf::result<std::optional<StatusResponse>> fetch_member_status(const MemberInfo& member) {
  ControlClientOptions options;
  options.nodes = {member.http_address};
  options.timeout = kMemberTimeout;
  options.rounds = 1;
  ControlClient client(std::move(options));
  return leaf::try_handle_some(
      [&]() -> leaf::result<std::optional<StatusResponse>> {
        BOOST_LEAF_AUTO(status, fetch_status(client));
        return std::optional<StatusResponse>(std::move(status));
      },
      [](const ControlUnavailable&) -> leaf::result<std::optional<StatusResponse>> {
        return std::optional<StatusResponse>();
      },
      [](const InvalidInput&)
          -> leaf::result<std::optional<StatusResponse>> {  // the member has no valid address
        return std::optional<StatusResponse>();
      });
}

leaf::result<std::vector<MemberView>> fetch_member_views(ControlClient& client) {
  BOOST_LEAF_AUTO(first, fetch_status(client));
  std::vector<MemberView> views;
  for (const MemberInfo& member : first.members) {
    BOOST_LEAF_AUTO(status, fetch_member_status(member));
    views.push_back({member, std::move(status)});
  }
  return views;
}

std::string yes_or_no(bool value) { return value ? "yes" : "no"; }

std::string member_name(const std::vector<MemberInfo>& members, std::uint64_t id) {
  for (const MemberInfo& member : members) {
    if (member.id == id) return member.http_address;
  }
  return std::to_string(id);
}

void print_members(const std::vector<MemberView>& views, std::ostream& out) {
  TextTable table({"MEMBER", "NODE", "ZONE", "ADDRESS", "VOTES", "IN_TOUCH", "MEMBERS_EPOCH", "CONFIG"});
  for (const MemberView& view : views) {
    const std::string id = std::to_string(view.member.id);
    if (!view.status) {
      table.add({id, "unreachable", view.member.zone, view.member.http_address, "-", "-", "-", "-"});
      continue;
    }
    const StatusResponse& status = *view.status;
    table.add({id, status.node, status.zone, view.member.http_address, yes_or_no(status.votes),
               yes_or_no(status.has_quorum_contact), std::to_string(status.member_epoch),
               std::to_string(status.configuration_version)});
  }
  table.print(out);
}

void print_services(const std::vector<MemberView>& views, std::ostream& out) {
  TextTable table({"SERVICE", "LED_BY", "EPOCH", "JOBS", "WAITING", "RUNNING", "LEAVES"});
  for (const MemberView& view : views) {
    if (!view.status) continue;
    for (const ServiceInfo& service : view.status->services) {
      if (!service.leads) continue;
      table.add({service.service, view.status->node, std::to_string(service.epoch),
                 std::to_string(service.jobs), std::to_string(service.waiting),
                 std::to_string(service.running), std::to_string(service.nodes)});
    }
  }
  table.print(out);
}

std::string views_json(const std::vector<MemberView>& views) {
  boost::json::array nodes;
  for (const MemberView& view : views) {
    boost::json::object node{{"member", view.member.id}, {"http_address", view.member.http_address}};
    node["reachable"] = view.status.has_value();
    if (view.status) node["status"] = boost::json::parse(view.status->json);
    nodes.push_back(std::move(node));
  }
  return boost::json::serialize(boost::json::object{{"nodes", std::move(nodes)}});
}

}  // namespace

leaf::result<void> run_members_command(const CommandLine& line, ControlClient& client, std::ostream& out) {
  BOOST_LEAF_AUTO(status, fetch_status(client));
  if (line.json) {
    out << status.json << '\n';
    return {};
  }
  TextTable table({"MEMBER", "ZONE", "ADDRESS", "OPERATOR_API"});
  for (const MemberInfo& member : status.members) {
    table.add({std::to_string(member.id), member.zone, member.address, member.http_address});
  }
  out << "member record " << status.member_epoch << '\n';
  table.print(out);
  return {};
}

leaf::result<void> run_leader_command(const CommandLine& line, ControlClient& client, std::ostream& out) {
  BOOST_LEAF_AUTO(status, fetch_status(client));
  if (line.json) {
    out << status.json << '\n';
    return {};
  }
  TextTable table({"SHARD", "EPOCH", "MEMBER", "OPERATOR_API"});
  for (const LeaderInfo& leader : status.leaders) {
    table.add({leader.shard, std::to_string(leader.epoch), std::to_string(leader.member),
               member_name(status.members, leader.member)});
  }
  table.print(out);
  return {};
}

leaf::result<void> run_status_command(const CommandLine& line, ControlClient& client, std::ostream& out) {
  BOOST_LEAF_AUTO(views, fetch_member_views(client));
  if (line.json) {
    out << views_json(views) << '\n';
    return {};
  }
  print_members(views, out);
  out << '\n';
  print_services(views, out);
  return {};
}

leaf::result<void> run_top_command(const CommandLine& line, ControlClient& client, std::ostream& out) {
  for (std::uint64_t round = 1;; ++round) {
    BOOST_LEAF_CHECK(run_status_command(line, client, out));
    if (line.rounds != 0 && round >= line.rounds) return {};
    out << std::endl;
    std::this_thread::sleep_for(std::chrono::seconds(line.interval_s));
  }
}

}  // namespace winchhall::cluster
