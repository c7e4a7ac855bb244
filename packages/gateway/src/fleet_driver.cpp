#include <snipeplank/gateway/fleet_driver.hpp>
#include <snipeplank/log/process_log.hpp>
#include <snipeplank/settings/config_builder.hpp>

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <string_view>
#include <utility>

namespace snipeplank::gateway
{

namespace
{

using std::chrono::steady_clock;

/// Interval at which loads, regions and the published view are refreshed.
constexpr core::milliseconds update_interval{500};

fleet::config_documents make_documents()
{
    fleet::config_documents documents;
    documents.parse = [](const std::string& text) -> core::result<settings::manifest>
    { return settings::parse_manifest(text, "manifest"); };
    // The builder caches parsed sections and is used by this state machine only.
    documents.build = [builder = std::make_shared<settings::config_builder>()](
                          const settings::manifest& index,
                          const std::map<std::string, std::string>& sections)
        -> core::result<std::shared_ptr<const settings::published_config>>
    {
        auto built = builder->build(index, sections);
        if (!built)
            return boost::outcome_v2::failure(built.error());
        return std::make_shared<const settings::published_config>(std::move(built.value()));
    };
    return documents;
}

fleet::node_fleet_settings make_fleet_settings(const fleet_driver_parts& parts)
{
    return {parts.self, parts.settings.caller_address, parts.settings.region, parts.settings.zone};
}

} // namespace

fleet_driver::fleet_driver(const fleet_driver_parts& parts)
    : m_parts(parts), m_random(core::system_seed()),
      m_fleet(make_fleet_settings(parts), make_documents(), m_random),
      m_config_client(
          make_platform_client(parts.settings.config_service, parts.settings.host_list)),
      m_host_client(make_platform_client({}, parts.settings.host_list)),
      m_load_client(make_platform_client({}, parts.settings.host_list))
{
}

fleet_driver::~fleet_driver()
{
    stop();
}

void fleet_driver::start()
{
    post([this](core::time_point now) { return m_fleet.start(now); });
    m_threads.emplace_back([this] { run_control(); });
    m_threads.emplace_back([this] { run_config_reader(); });
    m_threads.emplace_back([this] { run_host_reader(); });
    m_threads.emplace_back([this] { run_load_reader(); });
}

void fleet_driver::stop()
{
    {
        const std::scoped_lock lock(m_queue_mutex, m_read_mutex);
        m_is_stopping = true;
        m_queue_changed.notify_all();
        m_read_changed.notify_all();
    }
    m_config_client->interrupt();
    m_host_client->interrupt();
    m_load_client->interrupt();
    for (std::thread& thread : m_threads)
    {
        thread.join();
    }
    m_threads.clear();
}

void fleet_driver::on_message(const core::address& from, fleet::message received)
{
    post([this, from, received = std::move(received)](core::time_point now)
         { return m_fleet.on_message(from, received, now); });
}

void fleet_driver::begin_leaving()
{
    post([this](core::time_point now) { return m_fleet.begin_leaving(now); });
}

void fleet_driver::post(event what)
{
    const std::lock_guard lock(m_queue_mutex);
    m_events.push_back(std::move(what));
    m_queue_changed.notify_all();
}

void fleet_driver::run_control()
{
    std::unique_lock queue(m_queue_mutex);
    while (!m_is_stopping)
    {
        m_queue_changed.wait_for(queue, fleet::tick_interval,
                                 [&] { return m_is_stopping || !m_events.empty(); });
        std::deque<event> events = std::exchange(m_events, {});
        queue.unlock();
        {
            const std::lock_guard lock(m_state_mutex);
            for (const event& what : events)
            {
                const core::time_point now = steady_clock::now();
                perform(what(now), now);
            }
            const core::time_point now = steady_clock::now();
            perform(m_fleet.on_tick(now), now);
            if (now >= m_next_update)
            {
                m_next_update = now + update_interval;
                update_dispatcher(now);
                publish_view(now);
            }
        }
        queue.lock();
    }
}

void fleet_driver::perform(const fleet::action_list& actions, core::time_point now)
{
    for (const fleet::action& what : actions)
    {
        perform_one(what, now);
    }
}

void fleet_driver::perform_one(const fleet::action& what, core::time_point now)
{
    if (const auto* message = std::get_if<fleet::send_message>(&what))
    {
        std::visit([&](const auto& body) { m_parts.network.send(message->to, body); },
                   message->body);
        return;
    }
    if (const auto* manifest = std::get_if<fleet::read_manifest>(&what))
    {
        const std::lock_guard lock(m_read_mutex);
        m_reads.emplace_back(*manifest);
        m_read_changed.notify_all();
        return;
    }
    if (const auto* section = std::get_if<fleet::read_section>(&what))
    {
        const std::lock_guard lock(m_read_mutex);
        m_reads.emplace_back(*section);
        m_read_changed.notify_all();
        return;
    }
    if (const auto* accepted = std::get_if<fleet::config_in_force>(&what))
    {
        m_parts.config.set(accepted->config);
        m_parts.dispatch.with([&](policy::dispatcher& d, auto&)
                              { d.set_config(*accepted->config); });
        spdlog::info("configuration version {} is in force", accepted->digest.version.get());
        update_dispatcher(now);
        publish_view(now);
        return;
    }
    if (std::holds_alternative<fleet::members_changed>(what))
    {
        publish_view(now);
        return;
    }
    if (std::holds_alternative<fleet::roles_changed>(what))
    {
        const std::lock_guard lock(m_read_mutex);
        m_probes = m_fleet.roles().probes;
        return;
    }
    if (std::holds_alternative<fleet::incarnation_renewed>(what))
    {
        log::warn("rejoined", "peers declared this node dead; it rejoined with a new incarnation");
        return;
    }
    if (const auto* raised = std::get_if<fleet::alarm>(&what))
        report(*raised);
}

void fleet_driver::report(const fleet::alarm& raised)
{
    std::string_view cause;
    switch (raised.kind)
    {
    case fleet::alarm_kind::config_conflict:
        cause = "conflict of configurations";
        m_parts.counters.count(counter::config_conflicts);
        break;
    case fleet::alarm_kind::config_invalid:
    case fleet::alarm_kind::config_corrupt:
        cause = "rejected configuration";
        m_parts.counters.count(counter::config_rejected);
        break;
    case fleet::alarm_kind::paused:
        cause = "expired view";
        m_parts.counters.count(counter::view_expired);
        break;
    case fleet::alarm_kind::own_link:
        cause = "own link";
        m_parts.counters.count(counter::own_link_suspected);
        break;
    }
    log::warn(cause, raised.message + "; " + raised.remedy);
}

void fleet_driver::publish_view(core::time_point now)
{
    fleet_view next;
    next.is_ready = m_fleet.is_ready();
    const auto add = [](std::vector<node_addresses>& nodes, const fleet::member_update& member) {
        nodes.push_back({member.caller_address, member.id.address, member.zone});
    };
    if (m_fleet.self().state == fleet::member_state::alive)
        add(next.live, m_fleet.self());
    for (const fleet::member_update& member : m_fleet.live_members())
    {
        if (member.id.address != m_fleet.self().id.address)
            add(next.live, member);
    }
    add(next.region_nodes, m_fleet.self());
    for (const fleet::member_update& member : m_fleet.members())
    {
        add(next.region_nodes, member);
    }
    for (const fleet::region_summary& summary : m_fleet.region_summaries(now))
    {
        for (const fleet::entry_point& point : summary.entry_points)
        {
            next.remote_nodes[summary.region].push_back({point.caller, point.peer, {}});
        }
    }
    std::vector<core::address> callers;
    for (const node_addresses& node : next.live)
    {
        callers.push_back(node.caller);
    }
    m_parts.dispatch.with([&](policy::dispatcher& d, auto&) { d.set_nodes(callers); });
    m_parts.view.set(std::move(next));
}

void fleet_driver::refresh_gauges()
{
    const std::lock_guard lock(m_state_mutex);
    m_parts.counters.set_gauge("snipeplank_config_version",
                               static_cast<double>(m_fleet.version_in_force().version.get()));
    m_parts.counters.set_gauge("snipeplank_live_members",
                               static_cast<double>(m_fleet.live_members().size()));
    m_parts.counters.set_gauge("snipeplank_suspected_members",
                               static_cast<double>(m_fleet.suspected_members().size()));
}

bool fleet_driver::wait(core::milliseconds time)
{
    std::unique_lock lock(m_read_mutex);
    return !m_read_changed.wait_for(lock, time, [&] { return m_is_stopping; });
}

} // namespace snipeplank::gateway
