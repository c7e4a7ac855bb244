#include "soak_fleet.hpp"

#include <algorithm>
#include <array>
#include <csignal>
#include <set>
#include <utility>

namespace snipeplank::tests
{

namespace
{

using namespace std::chrono_literals;
using nlohmann::json;

constexpr std::chrono::milliseconds poll_interval = 20ms;
/// Time limits within which a leaving server or an evacuated region may still get new requests.
constexpr std::chrono::milliseconds drain_limit = 4s;
constexpr std::chrono::milliseconds evacuation_limit = 5s;

soak_time now()
{
    return std::chrono::steady_clock::now();
}

/// Drains of one server have the same key, also when it comes back under another id meanwhile.
std::string drain_key(std::size_t server)
{
    return "drain " + std::to_string(server);
}

bool ends_by_whole_request(const planned_fault& fault)
{
    return fault.draw / 7 % 2 == 1;
}

std::string evacuation_key(const std::string& region)
{
    return "op/evacuate/" + region + "-a";
}

} // namespace

soak_fleet::soak_fleet(std::uint64_t seed, soak_shape shape)
    : m_seed(seed), m_shape(std::move(shape)),
      m_fleet(m_shape.regions, store_path::relayed, m_shape.retries),
      m_configuration(m_fleet, m_shape), m_nodes(m_shape.regions.size())
{
    for (const server_place& each : m_shape.servers)
    {
        m_servers.emplace_back(m_fleet, each, m_shape);
    }
    m_fleet.start_nodes();
    wait_until_served();
}

soak_fleet::~soak_fleet()
{
    m_view.is_stopped = true;
    for (soak_caller& each : m_callers)
    {
        static_cast<void>(each.finish());
    }
}

void soak_fleet::start_callers()
{
    m_view.sends_long_requests = m_shape.kinds.with_newer;
    m_view.takes_streams_up = m_shape.kinds.with_releases;
    for (std::size_t node = 0; node < m_nodes.size(); ++node)
    {
        m_view.nodes.push_back(m_fleet.node(node).callers);
    }
    m_view.idle_limit = [this] { return m_configuration.idle_limit(); };
    for (std::size_t caller = 0; caller < m_shape.callers; ++caller)
    {
        const std::size_t node = caller % m_nodes.size();
        m_callers.emplace_back(caller, m_seed * m_shape.callers + caller, node,
                               m_fleet.node(node).callers, m_view);
    }
}

soak_record soak_fleet::run(const std::vector<planned_fault>& plan)
{
    start_callers();
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
        tend();
        std::this_thread::sleep_for(poll_interval);
    }
    restore();
    wait_until_served();
    return collect();
}

soak_record soak_fleet::collect()
{
    m_view.is_stopped = true;
    soak_record seen;
    seen.home = home_region;
    seen.is_planned = m_shape.kinds.planned_only;
    seen.events = m_shape.events;
    seen.timeouts = m_configuration.timeouts();
    seen.idle_limits = m_configuration.published_idle_limits();
    seen.stops = m_stops;
    seen.disturbances = m_disturbances;
    seen.store_disturbances = m_store_disturbances;
    seen.exclusions = m_exclusions;
    seen.allowed_while_cold = m_configuration.allowed_while_cold();
    seen.stream_service = "model";
    for (soak_caller& each : m_callers)
    {
        const std::vector<call_record> calls = each.finish();
        seen.calls.insert(seen.calls.end(), calls.begin(), calls.end());
    }
    m_callers.clear();
    for (const soak_server& each : m_servers)
    {
        const std::vector<server_record> records = each.records();
        seen.servers.insert(seen.servers.end(), records.begin(), records.end());
    }
    return seen;
}

void soak_fleet::begin(const planned_fault& fault)
{
    const std::size_t node = fault.draw % m_nodes.size();
    soak_server& server = m_servers[fault.draw % m_servers.size()];
    set_disturbed(fault, true);
    switch (fault.kind)
    {
    case fault_kind::kill_node:
        kill_node(node);
        break;
    case fault_kind::freeze_node:
        m_fleet.node(node).program->pause();
        m_disturbances.push_back({node, now()});
        break;
    case fault_kind::freeze_server:
        server.pause();
        break;
    case fault_kind::faulty_server:
    {
        static constexpr std::array answers{"shed",     "error",    "reset",
                                            "unsigned", "other_id", "break_stream"};
        server.set_fault(answers[fault.draw / 7 % answers.size()]);
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
    case fault_kind::crash_servers:
        begin_crashes(fault);
        break;
    case fault_kind::restart_server:
    case fault_kind::release_version:
    case fault_kind::kill_all_nodes:
        begin_restarts(fault);
        break;
    default:
        begin_planned_operation(fault);
        break;
    }
}

void soak_fleet::kill_node(std::size_t node)
{
    m_fleet.node(node).program->kill();
    m_disturbances.push_back({node, now()});
    save_log(node);
    m_nodes[node] = node_state::down;
}

void soak_fleet::begin_restarts(const planned_fault& fault)
{
    switch (fault.kind)
    {
    case fault_kind::restart_server:
        m_servers[fault.draw % m_servers.size()].restart(fault.duration);
        break;
    case fault_kind::release_version:
        ++m_newest_version;
        replace_half(fault.draw % 2);
        break;
    default:
        for (std::size_t node = 0; node < m_nodes.size(); ++node)
        {
            if (m_nodes[node] != node_state::down)
                kill_node(node);
        }
        break;
    }
}

void soak_fleet::replace_half(std::uint64_t half)
{
    for (std::size_t i = 0; i < m_servers.size(); ++i)
    {
        if (half_of(i) == half)
            m_servers[i].replace("v" + std::to_string(m_newest_version));
    }
}

/// Records what disturbs the answers of a server, its path, or that of the store.
void soak_fleet::set_disturbed(const planned_fault& fault, bool is_disturbed)
{
    std::size_t server = fault.draw % m_servers.size();
    switch (fault.kind)
    {
    case fault_kind::freeze_server:
    case fault_kind::faulty_server:
    case fault_kind::pause_server:
    case fault_kind::mute_server:
        break;
    case fault_kind::delay_path:
    case fault_kind::cut_path:
    case fault_kind::silence_path:
    case fault_kind::drop_to_target:
    case fault_kind::drop_to_client:
    case fault_kind::refuse_path:
        server = fault.draw % (m_servers.size() + 1);
        break;
    default:
        return;
    }
    if (server < m_servers.size())
        m_servers[server].set_disturbed(is_disturbed);
    else
        m_store_disturbances.push_back(now());
}

void soak_fleet::begin_planned_operation(const planned_fault& fault)
{
    const std::size_t node = fault.draw % m_nodes.size();
    soak_server& server = m_servers[fault.draw % m_servers.size()];
    switch (fault.kind)
    {
    case fault_kind::stop_node:
        stop(node);
        break;
    case fault_kind::reload_node:
        if (m_nodes[node] == node_state::running)
            m_fleet.node(node).program->send_signal(SIGHUP);
        break;
    case fault_kind::drain_server:
        ++m_active_operations[drain_key(fault.draw % m_servers.size())];
        server.set_leaving(true);
        m_exclusions.push_back(
            {server.id(), now() + drain_limit, now() - poll_interval + fault.duration});
        break;
    case fault_kind::evacuate_region:
        evacuate(fault);
        break;
    default:
        begin_sound_behaviour(fault);
        break;
    }
}

void soak_fleet::begin_sound_behaviour(const planned_fault& fault)
{
    soak_server& server = m_servers[fault.draw % m_servers.size()];
    switch (fault.kind)
    {
    case fault_kind::pause_server:
        server.stand_still(fault.duration, false);
        break;
    case fault_kind::mute_server:
        server.stand_still(fault.duration, true);
        break;
    case fault_kind::close_ended_answers:
        server.set_close_ended(true);
        break;
    default:
        m_configuration.begin(fault);
        break;
    }
}

void soak_fleet::stop(std::size_t node)
{
    if (m_nodes[node] == node_state::down)
        return;
    m_fleet.node(node).program->send_signal(SIGTERM);
    m_disturbances.push_back({node, now()});
    if (m_nodes[node] == node_state::running)
        m_stops.push_back({node, now(), soak_time::max()});
    m_nodes[node] = node_state::stopping;
}

std::string soak_fleet::evacuated_region(const planned_fault& fault) const
{
    const std::set<std::string> all(m_shape.regions.begin(), m_shape.regions.end());
    // The home region comes first.
    std::vector<std::string> regions{home_region};
    std::copy_if(all.begin(), all.end(), std::back_inserter(regions),
                 [](const std::string& each) { return each != home_region; });
    return regions[fault.draw % regions.size()];
}

void soak_fleet::evacuate(const planned_fault& fault)
{
    const std::string region = evacuated_region(fault);
    ++m_active_operations[region];
    m_fleet.put(evacuation_key(region), "{}");
    for (const soak_server& each : m_servers)
    {
        if (each.region() == region)
            m_exclusions.push_back(
                {each.id(), now() + evacuation_limit, now() - poll_interval + fault.duration});
    }
}

void soak_fleet::end(const planned_fault& fault)
{
    const std::size_t node = fault.draw % m_nodes.size();
    set_disturbed(fault, false);
    switch (fault.kind)
    {
    case fault_kind::kill_all_nodes:
        for (std::size_t each = 0; each < m_nodes.size(); ++each)
        {
            if (m_nodes[each] == node_state::down)
                start_node(each);
        }
        break;
    case fault_kind::release_version:
        replace_half(1 - fault.draw % 2);
        break;
    case fault_kind::kill_node:
        if (m_nodes[node] == node_state::down)
            start_node(node);
        break;
    case fault_kind::freeze_node:
        m_fleet.node(node).program->resume();
        m_disturbances.push_back({node, now()});
        break;
    case fault_kind::evacuate_region:
        if (--m_active_operations[evacuated_region(fault)] == 0)
            m_fleet.remove(evacuation_key(evacuated_region(fault)));
        break;
    case fault_kind::delay_path:
    case fault_kind::silence_path:
    case fault_kind::refuse_path:
        path_at(fault.draw).set_faults(json::object());
        break;
    case fault_kind::drop_to_target:
    case fault_kind::drop_to_client:
        end_drop(path_at(fault.draw));
        break;
    case fault_kind::crash_servers:
        end_crashes(fault);
        break;
    case fault_kind::change_timeouts:
    case fault_kind::change_idle_limit:
    case fault_kind::move_routes:
        m_configuration.end(fault);
        break;
    default:
        end_server_fault(fault);
        break;
    }
}

void soak_fleet::end_server_fault(const planned_fault& fault)
{
    soak_server& server = m_servers[fault.draw % m_servers.size()];
    switch (fault.kind)
    {
    case fault_kind::freeze_server:
    case fault_kind::pause_server:
        server.resume();
        break;
    case fault_kind::faulty_server:
        server.set_fault("");
        break;
    case fault_kind::drain_server:
        // Drains of one server may overlap; the last one to end makes it ready again.
        if (--m_active_operations[drain_key(fault.draw % m_servers.size())] == 0)
            server.set_leaving(false);
        break;
    case fault_kind::close_ended_answers:
        server.set_close_ended(false);
        break;
    default:
        break;
    }
}

/// TCP never goes on behind lost bytes, so connections with lost bytes end. Streams that outlast
/// the fault would have gaps between their events otherwise.
void soak_fleet::end_drop(standin& path) const
{
    path.set_faults(m_shape.kinds.with_newer ? json{{"cut", true}} : json::object());
}

/// All servers have the same fault, so each of them ends at the same part of a prompt.
void soak_fleet::set_fatal_part(const std::string& part)
{
    for (soak_server& each : m_servers)
    {
        each.set_fatal_part(part);
    }
    m_view.sends_fatal_part = !part.empty();
}

/// Half of the time a part of a prompt ends the servers, otherwise a whole request. They end under
/// `fatal_path` throughout the soak, so that no success ever shows it as harmless to the nodes.
void soak_fleet::begin_crashes(const planned_fault& fault)
{
    if (ends_by_whole_request(fault))
    {
        ++m_active_operations[fatal_path];
        m_view.sends_fatal_path = true;
        return;
    }
    ++m_active_operations[fatal_part];
    set_fatal_part(fatal_part);
}

void soak_fleet::end_crashes(const planned_fault& fault)
{
    if (ends_by_whole_request(fault))
        m_view.sends_fatal_path = --m_active_operations[fatal_path] > 0;
    else if (--m_active_operations[fatal_part] == 0)
        set_fatal_part("");
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
    return chosen == m_servers.size() ? m_fleet.store_relay() : m_servers[chosen].path();
}

void soak_fleet::start_node(std::size_t index)
{
    m_fleet.start_node(index);
    m_disturbances.push_back({index, now()});
    m_nodes[index] = node_state::running;
}

void soak_fleet::tend()
{
    restart_stopped_nodes();
    m_configuration.tend();
    for (soak_server& each : m_servers)
    {
        each.tend();
    }
}

void soak_fleet::restart_stopped_nodes()
{
    for (std::size_t node = 0; node < m_nodes.size(); ++node)
    {
        if (m_nodes[node] != node_state::stopping || m_fleet.node(node).program->is_running())
            continue;
        for (node_stop& each : m_stops)
        {
            if (each.node == node)
                each.gone = std::min(each.gone, now());
        }
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
                       tend();
                       return m_nodes[node] != node_state::stopping;
                   });
        if (m_nodes[node] == node_state::down)
            start_node(node);
    }
    for (soak_server& each : m_servers)
    {
        each.restore();
    }
    m_configuration.restore();
    m_fleet.store_relay().set_faults(json::object());
    for (const std::string& region : m_shape.regions)
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
