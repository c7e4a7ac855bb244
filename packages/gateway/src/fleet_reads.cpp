/// Reader threads of the fleet driver, and updates of the dispatcher from their results.

#include <snipeplank/core/json_text.hpp>
#include <snipeplank/gateway/fleet_driver.hpp>

#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <utility>

namespace snipeplank::gateway
{

namespace
{

constexpr core::milliseconds host_list_wait{10'000};

/// Minimum time between two reads of the list, for a platform that ignores the wait.
constexpr core::milliseconds min_host_list_interval{500};
constexpr core::milliseconds load_interval{1'000};
constexpr core::milliseconds read_retry_delay{500};

/// One-way delay between availability zones of a region; the configuration names only regions.
constexpr double zone_delay_ms = 3;

constexpr std::string_view manifest_key = "snipeplank/manifest";
constexpr std::string_view section_prefix = "snipeplank/sections/";

fleet::host_entry to_host_entry(const listed_host& host)
{
    fleet::host_entry entry;
    entry.address = host.address;
    entry.kind = host.is_entry ? fleet::host_kind::entry : fleet::host_kind::upstream;
    entry.service = host.service;
    entry.region = host.region;
    entry.zone = host.zone;
    entry.state = host.is_leaving ? fleet::host_state::leaving : fleet::host_state::live;
    return entry;
}

} // namespace

void fleet_driver::run_config_reader()
{
    std::uint64_t index = 0;
    std::unique_lock lock(m_read_mutex);
    while (!m_is_stopping)
    {
        m_read_changed.wait(lock, [&] { return m_is_stopping || !m_reads.empty(); });
        if (m_is_stopping)
            return;
        const config_read next = m_reads.front();
        m_reads.pop_front();
        lock.unlock();
        m_parts.counters.count(counter::config_service_reads);
        if (const auto* section = std::get_if<fleet::read_section>(&next))
        {
            auto read = m_config_client->read_key(std::string(section_prefix) + section->hash, 0,
                                                  core::milliseconds{0});
            if (read)
                post([this, text = std::move(read.value().text)](core::time_point now)
                     { return m_fleet.on_section(text, now); });
        }
        else
        {
            const core::milliseconds wait_for = std::get<fleet::read_manifest>(next).wait;
            auto read = m_config_client->read_key(std::string(manifest_key), index, wait_for);
            if (read)
            {
                index = read.value().index;
                post([this, text = std::move(read.value().text)](core::time_point now)
                     { return m_fleet.on_service_manifest(text, now); });
            }
            else
            {
                spdlog::debug("{}", read.error().to_string());
                post([this](core::time_point now) { return m_fleet.on_service_failure(now); });
            }
        }
        lock.lock();
    }
}

void fleet_driver::run_host_reader()
{
    std::uint64_t index = 0;
    for (;;)
    {
        const auto read = m_host_client->read_hosts(index, host_list_wait);
        if (read)
        {
            m_parts.counters.count(counter::host_list_reads);
            index = read.value().index;
            apply_host_listing(read.value());
        }
        if (!wait(read ? min_host_list_interval : read_retry_delay))
            return;
    }
}

void fleet_driver::apply_host_listing(const host_listing& listing)
{
    fleet::host_list list;
    list.index = listing.index;
    for (const listed_host& host : listing.hosts)
    {
        list.hosts.push_back(to_host_entry(host));
    }
    post(
        [this, list = std::move(list), hosts = listing.hosts](core::time_point now)
        {
            m_hosts = hosts;
            fleet::action_list actions = m_fleet.on_host_list(list, now);
            update_dispatcher(now);
            return actions;
        });
}

void fleet_driver::run_load_reader()
{
    while (wait(load_interval))
    {
        std::vector<core::address> probes;
        {
            const std::lock_guard lock(m_read_mutex);
            probes = m_probes;
        }
        for (const core::address& upstream : probes)
        {
            const auto read = m_load_client->read_load(upstream);
            if (!read)
                continue;
            m_parts.counters.count(counter::load_reports);
            const fleet::load_sample reading{read.value().running, read.value().waiting,
                                             read.value().cache_use};
            post([this, upstream, reading](core::time_point now)
                 { return m_fleet.report_load(upstream, reading, now); });
        }
    }
}

void fleet_driver::update_dispatcher(core::time_point now)
{
    // The initial limit of an upstream comes from its service, so a configuration is needed first.
    if (m_fleet.config() == nullptr)
        return;
    // A service without listed upstreams needs an empty entry, or its old upstreams would remain.
    std::map<core::service_id, std::vector<policy::upstream_status>> services;
    for (const auto& [name, service] : m_fleet.config()->services)
    {
        services[name];
    }
    for (const listed_host& host : m_hosts)
    {
        if (host.is_entry || host.region != m_parts.settings.region)
            continue;
        policy::upstream_status facts;
        facts.address = host.address;
        facts.region = host.region;
        facts.zone = host.zone;
        facts.cost = host.cost;
        facts.is_leaving = host.is_leaving || m_fleet.is_upstream_leaving(host.address, now);
        facts.one_way_delay_ms = host.zone == m_parts.settings.zone ? 0 : zone_delay_ms;
        services[host.service].push_back(std::move(facts));
    }
    const std::vector<new_report> reports = collect_new_reports(now);
    const std::vector<policy::region_status> regions = region_status(now);
    m_parts.dispatch.with(
        [&](policy::dispatcher& d, auto&)
        {
            for (const auto& [service, upstreams] : services)
            {
                d.set_upstreams(service, upstreams, now);
            }
            for (const new_report& report : reports)
            {
                d.on_load_report(report.upstream, report.reading.running, report.reading.waiting,
                                 report.reading.cache_used, report.read_at);
            }
            d.set_regions(regions, now);
        });
}

std::vector<fleet_driver::new_report> fleet_driver::collect_new_reports(core::time_point now)
{
    std::vector<new_report> reports;
    for (const listed_host& host : m_hosts)
    {
        if (host.is_entry || host.region != m_parts.settings.region)
            continue;
        const auto reading = m_fleet.load_of(host.address, now);
        const auto read_at = m_fleet.load_sampled_at(host.address, now);
        if (!reading || !read_at)
            continue;
        core::time_point& last = m_last_report_at[host.address];
        if (*read_at <= last)
            continue;
        last = *read_at;
        reports.push_back({host.address, *reading, *read_at});
    }
    return reports;
}

std::vector<policy::region_status> fleet_driver::region_status(core::time_point now) const
{
    std::vector<policy::region_status> regions;
    const auto config = m_fleet.config();
    if (!config)
        return regions;
    for (const fleet::region_summary& summary : m_fleet.region_summaries(now))
    {
        policy::region_status facts;
        facts.region = summary.region;
        const auto zones = config->regions.find(summary.region);
        if (zones != config->regions.end())
            facts.zones = zones->second;
        for (const settings::link_config& link : config->links)
        {
            const bool connects_here =
                (link.a == summary.region && link.b == m_parts.settings.region) ||
                (link.b == summary.region && link.a == m_parts.settings.region);
            if (connects_here)
                facts.one_way_delay_ms = static_cast<double>(link.one_way_delay.count());
        }
        for (const auto& [name, service] : config->services)
        {
            for (const fleet::service_load& load : summary.services)
            {
                if (load.service_key != fleet::service_key(name))
                    continue;
                const double capacity = static_cast<double>(load.upstreams) *
                                        static_cast<double>(service.calls_per_upstream);
                const double busy =
                    static_cast<double>(load.running) + static_cast<double>(load.waiting);
                facts.services[name].free_calls = std::max(0.0, capacity - busy);
            }
        }
        regions.push_back(std::move(facts));
    }
    return regions;
}

std::string fleet_driver::status_json()
{
    using nlohmann::json;
    const std::lock_guard lock(m_state_mutex);
    const core::time_point now = std::chrono::steady_clock::now();
    const fleet::role_set& roles = m_fleet.roles();
    const auto describe = [](const fleet::member_update& member)
    {
        return json{{"peer_address", member.id.address.get()},
                    {"caller_address", member.caller_address.get()},
                    {"zone", member.zone.get()}};
    };
    json live = json::array();
    for (const fleet::member_update& member : m_fleet.live_members())
    {
        live.push_back(describe(member));
    }
    json suspected = json::array();
    for (const fleet::member_update& member : m_fleet.suspected_members())
    {
        suspected.push_back(describe(member));
    }
    json probes = json::array();
    for (const core::address& upstream : roles.probes)
    {
        probes.push_back(upstream.get());
    }
    json leaving = json::array();
    for (const core::address& upstream : m_fleet.leaving_upstreams(now))
    {
        leaving.push_back(upstream.get());
    }
    json regions = json::array();
    for (const fleet::region_summary& summary : m_fleet.region_summaries(now))
    {
        regions.push_back({{"region", summary.region.get()},
                           {"live_nodes", summary.live_nodes},
                           {"age_ms", summary.age_ms}});
    }
    const json status = {
        {"node",
         {{"caller_address", m_parts.settings.caller_address.get()},
          {"peer_address", m_parts.self.address.get()},
          {"region", m_parts.settings.region.get()},
          {"zone", m_parts.settings.zone.get()}}},
        {"ready", m_fleet.is_ready()},
        {"config_version", m_fleet.version_in_force().version.get()},
        {"manifest_hash", m_fleet.version_in_force().manifest_hash},
        {"own_link_in_doubt", m_fleet.link_suspected()},
        {"live", std::move(live)},
        {"suspected", std::move(suspected)},
        {"roles",
         {{"watcher", roles.watcher}, {"relay", roles.relay}, {"probes", std::move(probes)}}},
        {"leaving_upstreams", std::move(leaving)},
        {"regions", std::move(regions)}};
    return core::json_text(status, 2);
}

} // namespace snipeplank::gateway
