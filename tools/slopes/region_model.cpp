#include "region_model.hpp"

#include <snipeplank/settings/config_builder.hpp>
#include <snipeplank/settings/published_config.hpp>
#include <snipeplank/wire/codec.hpp>

#include <algorithm>
#include <type_traits>

#include "accounting.hpp"

namespace snipeplank::slopes
{

namespace
{

using core::milliseconds;
using core::seconds;

/// TCP and IP headers, options and Ethernet framing of one message.
constexpr std::size_t transport_bytes = 66;
/// Request line and headers of one read of the configuration service, and those of its answer.
constexpr std::size_t http_bytes = 300;
constexpr unsigned max_delay_ms = 5;
constexpr milliseconds load_interval{1'000};
constexpr seconds warm_up_time{40};
constexpr double seconds_in_day = 86'400;
/// The state machines do not parse region names, so their form is arbitrary.
const core::region_id own_region{"region-0"};

core::region_id region_named(std::size_t index)
{
    return core::region_id{"region-" + std::to_string(index)};
}

core::address peer_address(std::size_t region, std::size_t index)
{
    return core::address{"10." + std::to_string(region) + "." + std::to_string(index / 200) + "." +
                         std::to_string(index % 200) + ":7000"};
}

core::zone_id zone_of(std::size_t index)
{
    return core::zone_id{index % 2 == 0 ? "region-0-a" : "region-0-b"};
}

wire::message to_wire(const fleet::message& body)
{
    return std::visit([](const auto& value) { return wire::message{value}; }, body);
}

/// The fleet message in a decoded frame.
fleet::message from_wire(const wire::message& received)
{
    return std::visit(
        [](const auto& value) -> fleet::message
        {
            if constexpr (std::is_constructible_v<fleet::message, decltype(value)>)
                return value;
            else
                return fleet::gossip{};
        },
        received);
}

double to_seconds(core::duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

region_model::region_model(fleet_size size, std::uint64_t seed) : m_size(size), m_random(seed)
{
    m_nodes.resize(size.nodes);
    add_hosts();
    m_documents = make_documents(++m_version, size.regions, size.accounts);
}

/// Lists as many hosts for each other region as for this one: 21 regions of 38 are 798 nodes.
void region_model::add_hosts()
{
    for (std::size_t region = 0; region < m_size.regions; ++region)
    {
        for (std::size_t i = 0; i < m_size.nodes; ++i)
            m_hosts.hosts.push_back({peer_address(region, i),
                                     fleet::host_kind::entry,
                                     {},
                                     region_named(region),
                                     zone_of(i),
                                     fleet::host_state::live});
        for (std::size_t i = 0; i < m_size.servers; ++i)
        {
            const core::address server{"10." + std::to_string(100 + region) + "." +
                                       std::to_string(i / 200) + "." + std::to_string(i % 200) +
                                       ":9000"};
            const core::service_id service{i % 10 == 0 ? "booking"
                                                       : "model-" + std::to_string(i % 4)};
            m_hosts.hosts.push_back({server, fleet::host_kind::upstream, service,
                                     region_named(region), zone_of(i), fleet::host_state::live});
        }
    }
    for (std::size_t i = 0; i < m_size.nodes; ++i)
    {
        m_nodes[i].address = peer_address(0, i);
        m_index[m_nodes[i].address] = i;
    }
}

/// Only the first node builds configurations, because a build for 11,000 accounts is slow; the
/// others check the manifest and store the section texts.
fleet::config_documents region_model::documents_for(std::size_t index)
{
    const auto parse = [](const std::string& text)
    { return settings::parse_manifest(text, "manifest"); };
    using built = core::result<std::shared_ptr<const settings::published_config>>;
    using texts = std::map<std::string, std::string>;
    if (!m_nodes[index].builds)
    {
        return {parse,
                [](const settings::manifest& manifest, const texts&) -> built
                {
                    auto config = std::make_shared<settings::published_config>();
                    config->version = manifest.version;
                    return std::shared_ptr<const settings::published_config>(std::move(config));
                }};
    }
    return {
        parse,
        [this, builder = std::make_shared<settings::config_builder>()](
            const settings::manifest& manifest, const texts& sections) -> built
        {
            const double started = thread_cpu_seconds();
            core::result<settings::published_config> config = builder->build(manifest, sections);
            m_build_cpu_seconds += thread_cpu_seconds() - started;
            ++m_builds;
            if (!config)
                return config.error();
            return std::make_shared<const settings::published_config>(std::move(config).value());
        }};
}

void region_model::start_node(std::size_t index)
{
    node& started = m_nodes[index];
    const unsigned generation = ++started.generation;
    started.running = true;
    started.last_index = 0;
    started.builds = index == 0;
    started.random = std::make_unique<core::seeded_random>(m_random.next());
    const fleet::node_fleet_settings settings{
        {started.address, core::incarnation{m_random.next()}},
        core::address{"10.0.0." + std::to_string(index) + ":8080"},
        own_region,
        zone_of(index)};
    {
        const account_scope scope(index + 1, started.cpu_seconds);
        started.fleet =
            std::make_unique<fleet::node_fleet>(settings, documents_for(index), *started.random);
    }
    on_node(index, [this](fleet::node_fleet& target) { return target.start(m_now); });
    on_node(index,
            [this](fleet::node_fleet& target) { return target.on_host_list(m_hosts, m_now); });
    const milliseconds phase{m_random.below(1'000)};
    schedule(phase % fleet::tick_interval, [this, index, generation] { tick(index, generation); });
    schedule(phase, [this, index, generation] { report_loads(index, generation); });
}

bool region_model::is_partitioned(std::size_t a, std::size_t b) const
{
    return m_partitioned && zone_of(a) != zone_of(b);
}

void region_model::stop_nodes(std::size_t first, std::size_t count)
{
    // Nodes alternate between the two zones, so a stride of 2 stays in one zone.
    for (std::size_t i = 0; i < count; ++i)
    {
        node& stopped = m_nodes[first + 2 * i];
        stopped.running = false;
        ++stopped.generation;
    }
}

fault_cost region_model::run_fault(fault kind)
{
    constexpr std::size_t rack_size = 8;
    constexpr seconds outage{30};
    constexpr seconds minute{60};
    const std::size_t zone = m_nodes.size() / 2;
    warm_up();
    if (kind == fault::healing)
    {
        m_partitioned = true;
        advance(minute);
        m_partitioned = false;
    }
    for (node& counted : m_nodes)
        counted.bytes = counted.service_bytes = 0;
    if (kind == fault::host_lost)
        stop_nodes(1, 1);
    if (kind == fault::rack_lost)
        stop_nodes(1, rack_size);
    if (kind == fault::host_restarted)
        start_node(1);
    if (kind == fault::partition)
        m_partitioned = true;
    if (kind == fault::zone_restarted)
    {
        stop_nodes(1, zone);
        schedule(outage,
                 [this, zone]
                 {
                     for (std::size_t i = 0; i < zone; ++i)
                         start_node(1 + 2 * i);
                 });
    }
    advance(minute);
    fault_cost cost;
    double running = 0;
    for (const node& member : m_nodes)
    {
        if (!member.running)
            continue;
        ++running;
        const auto bytes = static_cast<double>(member.bytes + member.service_bytes);
        cost.mean_bytes += bytes;
        cost.max_bytes = std::max(cost.max_bytes, bytes);
    }
    cost.mean_bytes /= running;
    return cost;
}

void region_model::warm_up()
{
    for (std::size_t i = 0; i < m_nodes.size(); ++i)
        start_node(i);
    for (std::size_t region = 1; region < m_size.regions; ++region)
        schedule(milliseconds{m_random.below(12'000)},
                 [this, region] { simulate_remote_region(region); });
    advance(warm_up_time);
}

measurement region_model::run(core::duration time)
{
    reset_peaks();
    warm_up();
    for (node& reset : m_nodes)
    {
        reset.cpu_seconds = 0;
        reset.bytes = 0;
        reset.service_bytes = 0;
    }
    m_build_cpu_seconds = 0;
    m_builds = 0;
    if (m_size.changes_per_day > 0)
    {
        const core::duration interval = std::chrono::duration_cast<core::duration>(
            std::chrono::duration<double>(seconds_in_day / m_size.changes_per_day));
        for (core::duration at{0}; at < time - fleet::activation_delay; at += interval)
            schedule(at, [this] { publish(); });
    }
    advance(time);

    measurement result;
    const double elapsed = to_seconds(time);
    constexpr double percent = 100;
    result.cpu_percent = m_nodes[0].cpu_seconds / elapsed * percent;
    result.build_ms = m_builds == 0 ? 0 : m_build_cpu_seconds / static_cast<double>(m_builds) * 1e3;
    result.memory_bytes = static_cast<double>(live_bytes(1));
    result.peak_memory_bytes = static_cast<double>(peak_bytes(1));
    result.seconds_to_force = m_max_seconds_to_force;
    for (std::size_t i = 0; i < m_nodes.size(); ++i)
    {
        const node& member = m_nodes[i];
        const double rate = static_cast<double>(member.bytes + member.service_bytes) / elapsed;
        const double service = static_cast<double>(member.service_bytes) / elapsed;
        result.bytes_per_second += rate / static_cast<double>(m_nodes.size());
        result.max_bytes_per_second = std::max(result.max_bytes_per_second, rate);
        result.service_bytes_per_second = std::max(result.service_bytes_per_second, service);
        if (i > 0)
            result.gossip_cpu_percent +=
                member.cpu_seconds / elapsed * percent / static_cast<double>(m_nodes.size() - 1);
    }
    measure_coverage(result);
    return result;
}

void region_model::measure_coverage(measurement& sum) const
{
    const auto nodes = static_cast<double>(m_nodes.size());
    for (const node& member : m_nodes)
    {
        std::size_t known = 0;
        for (const fleet::host_entry& host : m_hosts.hosts)
        {
            const bool own = host.kind == fleet::host_kind::upstream && host.region == own_region;
            known += own && member.fleet->load_of(host.address, m_now) ? 1 : 0;
        }
        sum.load_coverage +=
            static_cast<double>(known) / static_cast<double>(m_size.servers) / nodes;
        const auto regions = static_cast<double>(member.fleet->region_summaries(m_now).size());
        sum.region_coverage += regions / static_cast<double>(m_size.regions - 1) / nodes;
    }
}

void region_model::publish()
{
    m_documents = make_documents(++m_version, m_size.regions, m_size.accounts);
    m_published = m_now;
}

void region_model::schedule(core::duration after, event next)
{
    m_events.emplace(m_now + after, std::move(next));
}

void region_model::advance(core::duration time)
{
    const core::time_point end = m_now + time;
    while (!m_events.empty() && m_events.begin()->first <= end)
    {
        m_now = m_events.begin()->first;
        const event next = std::move(m_events.begin()->second);
        m_events.erase(m_events.begin());
        next();
    }
    m_now = end;
}

void region_model::tick(std::size_t index, unsigned generation)
{
    if (m_nodes[index].generation != generation)
        return;
    on_node(index, [this](fleet::node_fleet& target) { return target.on_tick(m_now); });
    schedule(fleet::tick_interval, [this, index, generation] { tick(index, generation); });
}

void region_model::report_loads(std::size_t index, unsigned generation)
{
    if (m_nodes[index].generation != generation)
        return;
    const std::vector<core::address> probes = m_nodes[index].fleet->roles().probes;
    for (const core::address& upstream : probes)
    {
        const fleet::load_sample reading{static_cast<std::uint32_t>(m_random.below(200)),
                                         static_cast<std::uint32_t>(m_random.below(50)), 0.5};
        on_node(index, [&](fleet::node_fleet& target)
                { return target.report_load(upstream, reading, m_now); });
    }
    schedule(load_interval, [this, index, generation] { report_loads(index, generation); });
}

/// Sends one summary of another region to a random node in each interval, as the region's relays
/// do.
void region_model::simulate_remote_region(std::size_t region)
{
    fleet::gossip body;
    body.sender.id = {peer_address(region, 0), core::incarnation{region}};
    body.sender.caller_address = peer_address(region, 0);
    body.sender.zone = core::zone_id{"elsewhere"};
    body.sender_region = region_named(region);
    body.digest = m_nodes[0].fleet->version_in_force();
    fleet::region_summary summary;
    summary.region = region_named(region);
    summary.issuer = region;
    summary.sequence = ++m_remote_sequence;
    summary.live_nodes = static_cast<std::uint16_t>(m_size.nodes);
    for (std::size_t i = 0; i < fleet::summary_entry_points(m_size.regions - 1); ++i)
        summary.entry_points.push_back({peer_address(region, i), peer_address(region, i)});
    for (std::uint32_t service = 1; service <= 5; ++service)
        summary.services.push_back({service, 40, 4'000, 100});
    body.regions.push_back(summary);
    const std::size_t to = m_random.below(m_nodes.size());
    receive(to, body.sender.id.address, wire::encode(to_wire(body)).value());
    schedule(fleet::summary_interval, [this, region] { simulate_remote_region(region); });
}

void region_model::on_node(std::size_t index, const call& next)
{
    node& target = m_nodes[index];
    if (!target.running)
        return;
    const account_scope scope(index + 1, target.cpu_seconds);
    perform(index, next(*target.fleet));
}

void region_model::perform(std::size_t index, const fleet::action_list& actions)
{
    for (const fleet::action& next : actions)
    {
        node& actor = m_nodes[index];
        if (const auto* sent = std::get_if<fleet::send_message>(&next))
            send(index, *sent);
        else if (const auto* manifest = std::get_if<fleet::read_manifest>(&next))
            answer_watch(index, m_now + manifest->wait);
        else if (const auto* section = std::get_if<fleet::read_section>(&next))
            answer_section(index, section->hash);
        else if (const auto* adopted = std::get_if<fleet::config_in_force>(&next))
        {
            if (adopted->digest.version.get() == m_version && m_version > 1)
                m_max_seconds_to_force =
                    std::max(m_max_seconds_to_force, to_seconds(m_now - m_published));
            actor.last_index = std::max(actor.last_index, adopted->digest.version.get());
        }
    }
}

void region_model::send(std::size_t index, const fleet::send_message& sent)
{
    node& actor = m_nodes[index];
    std::string frame = wire::encode(to_wire(sent.body)).value();
    actor.bytes += frame.size() + transport_bytes;
    const auto target = m_index.find(sent.to);
    if (target == m_index.end() || is_partitioned(index, target->second))
        return;
    // Memory of messages in flight is attributed to no node.
    double unused = 0;
    const account_scope network(no_account, unused);
    const milliseconds delay{1 + m_random.below(max_delay_ms)};
    schedule(delay, [this, to = target->second, from = actor.address, copy = std::string(frame)]
             { receive(to, from, copy); });
}

void region_model::receive(std::size_t index, const core::address& from, const std::string& frame)
{
    if (!m_nodes[index].running)
        return;
    m_nodes[index].bytes += frame.size() + transport_bytes;
    on_node(index,
            [&](fleet::node_fleet& target)
            {
                const std::string_view payload = std::string_view(frame).substr(wire::length_bytes);
                return target.on_message(from, from_wire(wire::decode(payload).value()), m_now);
            });
}

void region_model::answer_watch(std::size_t index, core::time_point until)
{
    constexpr milliseconds poll{20};
    if (m_nodes[index].last_index == m_version && m_now < until)
    {
        schedule(poll, [this, index, until] { answer_watch(index, until); });
        return;
    }
    m_nodes[index].last_index = m_version;
    m_nodes[index].service_bytes +=
        2 * http_bytes + 2 * transport_bytes + m_documents.manifest.size();
    schedule(milliseconds{5},
             [this, index, text = m_documents.manifest]
             {
                 on_node(index, [&](fleet::node_fleet& target)
                         { return target.on_service_manifest(text, m_now); });
             });
}

void region_model::answer_section(std::size_t index, const std::string& hash)
{
    const auto found = m_documents.sections.find(hash);
    if (found == m_documents.sections.end())
        return;
    m_nodes[index].service_bytes += 2 * http_bytes + 2 * transport_bytes + found->second.size();
    schedule(milliseconds{5},
             [this, index, text = found->second] {
                 on_node(index,
                         [&](fleet::node_fleet& target) { return target.on_section(text, m_now); });
             });
}

} // namespace snipeplank::slopes
