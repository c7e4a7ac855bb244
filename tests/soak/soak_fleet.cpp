#include "soak_fleet.hpp"

#include <algorithm>
#include <array>
#include <csignal>
#include <random>
#include <tuple>

namespace snipeplank::tests
{

namespace
{

using namespace std::chrono_literals;
using nlohmann::json;

const std::string home = "salzkammer";
const std::string remote = "ennstal";
constexpr std::size_t callers = 12;
constexpr std::chrono::milliseconds poll_interval = 20ms;
/// Long enough that faults hit requests in flight.
constexpr int work_ms = 60;
/// Time limits within which a leaving server or an evacuated region may still get new requests.
constexpr std::chrono::milliseconds drain_limit = 4s;
constexpr std::chrono::milliseconds evacuation_limit = 5s;

soak_time now()
{
    return std::chrono::steady_clock::now();
}

std::string evacuated_region(const planned_fault& fault)
{
    return fault.draw % 2 == 0 ? home : remote;
}

std::string evacuation_key(const std::string& region)
{
    return "op/evacuate/" + region + "-a";
}

} // namespace

soak_fleet::soak_fleet(std::uint64_t seed)
    : m_seed(seed), m_fleet({home, home, remote}, store_path::relayed), m_nodes(3), m_calls(callers)
{
    m_fleet.publish_configuration(m_version, home);
    for (const auto& [id, service, region] :
         {std::tuple{"m1", "model", home}, std::tuple{"m2", "model", home},
          std::tuple{"s1", "shop", home}, std::tuple{"s2", "shop", home},
          std::tuple{"m3", "model", remote}, std::tuple{"s3", "shop", remote}})
    {
        soak_server made{id, service, region, nullptr, nullptr, false};
        made.program = &m_fleet.start_server(id, work_ms);
        made.path = std::make_unique<standin>(
            "standin_relay", std::vector<std::string>{"--target", made.program->address()});
        publish(made, false);
        m_servers.push_back(std::move(made));
    }
    m_fleet.start_nodes();
    wait_until_served();
}

soak_fleet::~soak_fleet()
{
    m_is_stopped = true;
    for (std::thread& each : m_callers)
    {
        each.join();
    }
}

soak_record soak_fleet::run(const std::vector<planned_fault>& plan, bool planned_only)
{
    for (std::size_t caller = 0; caller < callers; ++caller)
    {
        m_callers.emplace_back([this, caller] { call_until_stopped(caller); });
    }
    const soak_time start = now();
    std::vector<planned_fault> active;
    for (auto next = plan.begin(); next != plan.end() || !active.empty();)
    {
        const auto elapsed = now() - start;
        for (; next != plan.end() && next->at <= elapsed; ++next)
        {
            begin(*next);
            active.push_back(*next);
        }
        std::erase_if(active,
                      [&](const planned_fault& each)
                      {
                          const bool is_over = each.at + each.duration <= elapsed;
                          if (is_over)
                              end(each);
                          return is_over;
                      });
        restart_stopped_nodes();
        std::this_thread::sleep_for(poll_interval);
    }
    restore();
    wait_until_served();
    m_is_stopped = true;
    soak_record seen;
    seen.home = home;
    seen.is_planned = planned_only;
    seen.exclusions = planned_only ? m_exclusions : std::vector<exclusion_period>{};
    for (std::size_t caller = 0; caller < callers; ++caller)
    {
        m_callers[caller].join();
        seen.calls.insert(seen.calls.end(), m_calls[caller].begin(), m_calls[caller].end());
    }
    m_callers.clear();
    for (const soak_server& each : m_servers)
    {
        seen.servers.push_back(
            {each.id, each.region,
             machine_fleet::seen(*each.program)["runs"].get<std::map<std::string, int>>()});
    }
    return seen;
}

void soak_fleet::begin(const planned_fault& fault)
{
    const std::size_t node = fault.draw % m_nodes.size();
    soak_server& server = m_servers[fault.draw % m_servers.size()];
    switch (fault.kind)
    {
    case fault_kind::kill_node:
        m_fleet.node(node).program->kill();
        save_log(node);
        m_nodes[node] = node_state::down;
        break;
    case fault_kind::freeze_node:
        m_fleet.node(node).program->pause();
        break;
    case fault_kind::freeze_server:
        server.program->process().pause();
        server.is_paused = true;
        break;
    case fault_kind::faulty_server:
    {
        static constexpr std::array answers{"shed",     "error",    "reset",
                                            "unsigned", "other_id", "break_stream"};
        set_fault(server, answers[fault.draw / 7 % answers.size()]);
        break;
    }
    case fault_kind::forget_history:
        static_cast<void>(http_post(m_fleet.store().address(), "/standin/compact", ""));
        break;
    case fault_kind::delay_path:
    case fault_kind::cut_path:
    case fault_kind::silence_path:
    case fault_kind::drop_to_target:
    case fault_kind::drop_to_client:
    case fault_kind::refuse_path:
        begin_path_fault(fault, path_at(fault.draw));
        break;
    default:
        begin_planned_operation(fault);
        break;
    }
}

void soak_fleet::begin_planned_operation(const planned_fault& fault)
{
    const std::size_t node = fault.draw % m_nodes.size();
    const soak_server& server = m_servers[fault.draw % m_servers.size()];
    switch (fault.kind)
    {
    case fault_kind::stop_node:
        if (m_nodes[node] != node_state::down)
        {
            m_fleet.node(node).program->send_signal(SIGTERM);
            m_nodes[node] = node_state::stopping;
        }
        break;
    case fault_kind::reload_node:
        if (m_nodes[node] == node_state::running)
            m_fleet.node(node).program->send_signal(SIGHUP);
        break;
    case fault_kind::new_configuration:
        m_fleet.publish_configuration(++m_version, home);
        break;
    case fault_kind::drain_server:
        ++m_active_operations[server.id];
        publish(server, true);
        m_exclusions.push_back(
            {server.id, now() + drain_limit, now() - poll_interval + fault.duration});
        break;
    case fault_kind::evacuate_region:
    {
        const std::string region = evacuated_region(fault);
        ++m_active_operations[region];
        m_fleet.put(evacuation_key(region), "{}");
        for (const soak_server& each : m_servers)
        {
            if (each.region == region)
                m_exclusions.push_back(
                    {each.id, now() + evacuation_limit, now() - poll_interval + fault.duration});
        }
        break;
    }
    default:
        break;
    }
}

void soak_fleet::end(const planned_fault& fault)
{
    const std::size_t node = fault.draw % m_nodes.size();
    soak_server& server = m_servers[fault.draw % m_servers.size()];
    switch (fault.kind)
    {
    case fault_kind::kill_node:
        if (m_nodes[node] == node_state::down)
            start_node(node);
        break;
    case fault_kind::freeze_node:
        m_fleet.node(node).program->resume();
        break;
    case fault_kind::freeze_server:
        server.program->process().resume();
        server.is_paused = false;
        break;
    case fault_kind::faulty_server:
        set_fault(server, "");
        break;
    case fault_kind::drain_server:
        // Drains of one server may overlap; the last one to end makes it ready again.
        if (--m_active_operations[server.id] == 0)
            publish(server, false);
        break;
    case fault_kind::evacuate_region:
        if (--m_active_operations[evacuated_region(fault)] == 0)
            m_fleet.remove(evacuation_key(evacuated_region(fault)));
        break;
    case fault_kind::delay_path:
    case fault_kind::silence_path:
    case fault_kind::drop_to_target:
    case fault_kind::drop_to_client:
    case fault_kind::refuse_path:
        path_at(fault.draw).set_faults(json::object());
        break;
    default:
        break;
    }
}

void soak_fleet::begin_path_fault(const planned_fault& fault, standin& path)
{
    constexpr std::uint64_t max_delay_ms = 600;
    switch (fault.kind)
    {
    case fault_kind::delay_path:
        path.set_faults({{"delay_ms", 1 + fault.draw / 7 % max_delay_ms}});
        break;
    case fault_kind::cut_path:
        path.set_faults({{"cut", true}});
        break;
    case fault_kind::silence_path:
        path.set_faults({{"silence_existing", true}});
        break;
    case fault_kind::drop_to_target:
        path.set_faults({{"drop", "to_target"}});
        break;
    case fault_kind::drop_to_client:
        path.set_faults({{"drop", "to_client"}});
        break;
    default:
        path.set_faults({{"refuse", true}, {"cut", true}});
        break;
    }
}

/// Relay in front of one of the servers or of the store.
standin& soak_fleet::path_at(std::uint64_t draw)
{
    const std::size_t chosen = draw % (m_servers.size() + 1);
    return chosen == m_servers.size() ? m_fleet.store_relay() : *m_servers[chosen].path;
}

/// A paused server cannot receive the request that sets the fault, so it is resumed for it.
void soak_fleet::set_fault(soak_server& server, const std::string& fault)
{
    if (server.is_paused)
        server.program->process().resume();
    machine_fleet::set_fault(*server.program, fault);
    if (server.is_paused)
        server.program->process().pause();
}

void soak_fleet::publish(const soak_server& server, bool is_leaving) const
{
    m_fleet.publish_server(server.id, server.service, server.region, server.path->address(),
                           is_leaving ? "draining" : "ready");
}

void soak_fleet::start_node(std::size_t index)
{
    m_fleet.start_node(index);
    m_nodes[index] = node_state::running;
}

void soak_fleet::restart_stopped_nodes()
{
    for (std::size_t node = 0; node < m_nodes.size(); ++node)
    {
        if (m_nodes[node] != node_state::stopping || m_fleet.node(node).program->is_running())
            continue;
        save_log(node);
        start_node(node);
    }
}

/// Ends all remaining faults and restarts the nodes that are down.
void soak_fleet::restore()
{
    for (std::size_t node = 0; node < m_nodes.size(); ++node)
    {
        m_fleet.node(node).program->resume();
        wait_until("a stopping node has ended",
                   [&]
                   {
                       restart_stopped_nodes();
                       return m_nodes[node] != node_state::stopping;
                   });
        if (m_nodes[node] == node_state::down)
            start_node(node);
    }
    for (soak_server& each : m_servers)
    {
        each.program->process().resume();
        each.is_paused = false;
        set_fault(each, "");
        each.path->set_faults(json::object());
        publish(each, false);
    }
    m_fleet.store_relay().set_faults(json::object());
    for (const std::string& region : {home, remote})
    {
        m_fleet.remove(evacuation_key(region));
    }
}

void soak_fleet::wait_until_served()
{
    for (std::size_t node = 0; node < m_nodes.size(); ++node)
    {
        for (const char* path : {"/read/x", "/book/x", "/stream/x"})
        {
            m_fleet.wait_until_served(node, path);
        }
    }
}

void soak_fleet::call_until_stopped(std::size_t caller)
{
    std::mt19937_64 random(m_seed * callers + caller);
    const std::size_t node = caller % m_nodes.size();
    std::unique_ptr<http_exchange> open;
    for (int number = 0; !m_is_stopped; ++number)
    {
        const std::string id = std::to_string(caller) + "-" + std::to_string(number);
        call_record made = send_call(open, node, id, random());
        constexpr auto max_pause_ms = 60;
        const auto pause = std::chrono::milliseconds(random() % max_pause_ms);
        // A node that is down refuses connections immediately, so wait longer.
        std::this_thread::sleep_for(
            made.answer.end == answer_end::no_connection ? 10 * poll_interval : pause);
        m_calls[caller].push_back(std::move(made));
    }
}

call_record soak_fleet::send_call(std::unique_ptr<http_exchange>& open, std::size_t node,
                                  const std::string& id, std::uint64_t draw)
{
    static constexpr std::array kinds{call_kind::book, call_kind::read, call_kind::stream};
    call_record made;
    made.id = id;
    made.kind = kinds[draw % kinds.size()];
    constexpr int min_deadline_ms = 500;
    constexpr int deadline_range_ms = 3'500;
    const int deadline_ms = min_deadline_ms + static_cast<int>(draw / 7 % deadline_range_ms);
    http_request request = machine_fleet::request("POST", path_of(made.kind, id), id, deadline_ms);
    request.keep_alive = true;
    made.sent = now();
    if (open && open->can_send_again())
        open->send_again(request);
    else
        open = std::make_unique<http_exchange>(m_fleet.node(node).callers, request);
    made.answer = open->finish();
    return made;
}

void soak_fleet::save_log(std::size_t node)
{
    m_logs += m_fleet.node(node).program->output();
}

std::string soak_fleet::logs()
{
    std::string all = m_logs;
    for (std::size_t node = 0; node < m_nodes.size(); ++node)
    {
        all += m_fleet.node(node).program->output();
    }
    return all;
}

} // namespace snipeplank::tests
