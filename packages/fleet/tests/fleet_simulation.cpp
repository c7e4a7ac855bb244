#include <support/fleet_simulation.hpp>

#include <algorithm>
#include <sstream>

namespace snipeplank::fleet::tests
{

namespace
{

constexpr unsigned percent = 100;
constexpr milliseconds service_delay{5};
constexpr milliseconds list_interval{5'000};

core::result<settings::manifest> parse_test_manifest(const std::string& text)
{
    std::istringstream input(text);
    std::string word;
    std::uint64_t version = 0;
    if (!(input >> word >> version) || word != "version" || version == 0)
        return core::fail(core::error_code::config_invalid, "no version", "start with `version N`");
    settings::manifest index;
    index.version = core::config_version{version};
    settings::section_ref ref;
    while (input >> ref.name >> ref.sha256)
        index.sections.push_back(ref);
    return index;
}

core::result<std::shared_ptr<const settings::published_config>>
build_test_config(const settings::manifest& index,
                  const std::map<std::string, std::string>& sections)
{
    for (const settings::section_ref& ref : index.sections)
    {
        if (sections.at(ref.sha256).find("invalid") != std::string::npos)
            return core::fail(core::error_code::config_invalid, "section " + ref.name,
                              "correct it");
    }
    auto config = std::make_shared<settings::published_config>();
    config->version = index.version;
    return std::shared_ptr<const settings::published_config>(std::move(config));
}

} // namespace

config_documents test_documents()
{
    return {parse_test_manifest, build_test_config};
}

publication make_publication(std::uint64_t version, std::size_t count, const std::string& salt)
{
    publication made;
    std::string& text = made.manifest;
    text = "version " + std::to_string(version) + "\n";
    for (std::size_t i = 0; i < count; ++i)
    {
        const std::string name = "section-" + std::to_string(i);
        // Only the first section depends on the salt, because a typical change affects one section.
        const std::string section = name + " " + (i == 0 ? salt : "") + "\n";
        const std::string hash = core::sha256_hex(section);
        made.sections[hash] = section;
        text.append(name).append(" ").append(hash).append("\n");
    }
    return made;
}

void fleet_simulation::add_nodes(const std::string& region, const std::string& zone,
                                 std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i)
    {
        const std::string host =
            "10.0." + std::to_string(nodes.size() / 200) + "." + std::to_string(nodes.size() % 200);
        node added;
        added.address = core::address{host + ":7000"};
        added.caller = core::address{host + ":8080"};
        added.region = core::region_id{region};
        added.zone = core::zone_id{zone};
        listed.hosts.push_back(
            {added.address, host_kind::entry, {}, added.region, added.zone, host_state::live});
        m_index[added.address] = nodes.size();
        nodes.push_back(std::move(added));
    }
}

void fleet_simulation::add_upstreams(const std::string& region, std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i)
    {
        const core::address address{"10.9." + region + "." + std::to_string(i) + ":9000"};
        listed.hosts.push_back({address, host_kind::upstream, core::service_id{"model"},
                                core::region_id{region}, core::zone_id{"upstreams"},
                                host_state::live});
    }
}

void fleet_simulation::schedule(core::time_point time, event next)
{
    m_events.emplace(time, std::move(next));
}

void fleet_simulation::at(core::duration time, std::function<void()> action)
{
    schedule(m_now + time, std::move(action));
}

void fleet_simulation::run(core::duration time)
{
    const core::time_point end = m_now + time;
    while (!m_events.empty() && m_events.begin()->first <= end)
    {
        const auto first = m_events.begin();
        m_now = std::max(m_now, first->first);
        const event next = std::move(first->second);
        m_events.erase(first);
        next();
    }
    m_now = end;
}

void fleet_simulation::start(std::size_t index)
{
    node& started = nodes[index];
    ++started.generation;
    started.running = true;
    started.resume_at = m_now;
    started.seen_index = 0;
    started.adopted.clear();
    started.final_ids.clear();
    started.present_ids.clear();
    started.random = std::make_unique<core::seeded_random>(m_random.next());
    const core::node_id id{started.address, core::incarnation{m_random.next()}};
    started.fleet = std::make_unique<node_fleet>(
        node_fleet_settings{id, started.caller, started.region, started.zone}, test_documents(),
        *started.random);
    const unsigned generation = started.generation;
    perform(index, started.fleet->start(m_now));
    deliver_host_list(index, generation);
    const core::duration phase = milliseconds{m_random.below(static_cast<unsigned>(tick.count()))};
    schedule(m_now + phase, [this, index, generation] { tick_node(index, generation); });
}

void fleet_simulation::start_all()
{
    for (std::size_t i = 0; i < nodes.size(); ++i)
        start(i);
}

void fleet_simulation::crash(std::size_t index)
{
    nodes[index].running = false;
    ++nodes[index].generation;
}

void fleet_simulation::restart(std::size_t index)
{
    crash(index);
    start(index);
}

void fleet_simulation::pause(std::size_t index, core::duration time)
{
    nodes[index].resume_at = std::max(nodes[index].resume_at, m_now + time);
}

void fleet_simulation::leave(std::size_t index)
{
    if (!is_responsive(nodes[index]))
        return;
    perform(index, nodes[index].fleet->begin_leaving(m_now));
}

void fleet_simulation::publish(publication next)
{
    // Sections of former versions stay readable, as in a key-value store.
    next.sections.merge(service.current.sections);
    service.current = std::move(next);
    ++service.index;
}

void fleet_simulation::run_on_node(std::size_t index, unsigned generation,
                                   std::function<action_list(node&)> next)
{
    node& target = nodes[index];
    if (!target.running || target.generation != generation)
        return;
    if (!is_responsive(target))
    {
        schedule(target.resume_at, [this, index, generation, next = std::move(next)]
                 { run_on_node(index, generation, next); });
        return;
    }
    perform(index, next(target));
    if (observe)
        observe(target);
}

void fleet_simulation::tick_node(std::size_t index, unsigned generation)
{
    if (nodes[index].generation != generation)
        return;
    run_on_node(index, generation, [this](node& target) { return target.fleet->on_tick(m_now); });
    const core::time_point next = std::max(m_now, nodes[index].resume_at) + tick;
    schedule(next, [this, index, generation] { tick_node(index, generation); });
}

void fleet_simulation::deliver_host_list(std::size_t index, unsigned generation)
{
    if (nodes[index].generation != generation)
        return;
    run_on_node(index, generation,
                [this](node& target) { return target.fleet->on_host_list(listed, m_now); });
    schedule(m_now + list_interval,
             [this, index, generation] { deliver_host_list(index, generation); });
}

void fleet_simulation::perform(std::size_t index, action_list actions)
{
    for (action& next : actions)
    {
        node& actor = nodes[index];
        if (const auto* sent = std::get_if<send_message>(&next))
            send(index, *sent);
        else if (const auto* manifest = std::get_if<read_manifest>(&next))
            read(index, *manifest);
        else if (const auto* section = std::get_if<read_section>(&next))
            read(index, *section);
        else if (const auto* adopted = std::get_if<config_in_force>(&next))
            actor.adopted.push_back(*adopted);
        else if (const auto* raised = std::get_if<alarm>(&next))
            actor.alarms.push_back(*raised);
        else if (const auto* renewed = std::get_if<incarnation_renewed>(&next))
            actor.renewals.push_back(*renewed);
    }
}

void fleet_simulation::send(std::size_t index, const send_message& sent)
{
    sent_bytes += estimated_size(sent.body);
    ++sent_messages;
    const auto target = m_index.find(sent.to);
    if (target == m_index.end())
        return;
    const core::address from = nodes[index].address;
    if (record)
        recorded.emplace_back(from, sent);
    if (!nodes[index].linked)
        return;
    const std::size_t to = target->second;
    const unsigned copies = m_random.below(percent) < faults.duplicate_percent ? 2 : 1;
    for (unsigned i = 0; i < copies; ++i)
    {
        if (m_random.below(percent) < faults.loss_percent)
            continue;
        const milliseconds delay{1 +
                                 m_random.below(static_cast<unsigned>(faults.delay_max.count()))};
        schedule(m_now + delay, [this, from, to, body = sent.body] { deliver(from, to, body); });
    }
}

void fleet_simulation::replay(std::size_t recorded_index)
{
    const auto& [from, sent] = recorded[recorded_index];
    const auto target = m_index.find(sent.to);
    if (target != m_index.end())
        deliver(from, target->second, sent.body);
}

void fleet_simulation::deliver(const core::address& from, std::size_t to, message body)
{
    const node& target = nodes[to];
    const node& sender = nodes[m_index.at(from)];
    if (!target.linked || !sender.linked || !connected(sender, target))
        return;
    run_on_node(to, target.generation,
                [this, from, body = std::move(body)](node& receiver)
                { return receiver.fleet->on_message(from, body, m_now); });
}

void fleet_simulation::count_read()
{
    ++service
          .reads_in_second[std::chrono::duration_cast<seconds>(m_now.time_since_epoch()).count()];
}

void fleet_simulation::read(std::size_t index, const read_manifest& request)
{
    count_read();
    answer_watch(index, nodes[index].generation, m_now + request.wait);
}

void fleet_simulation::answer_watch(std::size_t index, unsigned generation, core::time_point until)
{
    node& reader = nodes[index];
    if (!service.up || !reader.service_linked)
    {
        schedule(m_now + seconds{1},
                 [this, index, generation]
                 {
                     run_on_node(index, generation,
                                 [this](node& target)
                                 { return target.fleet->on_service_failure(m_now); });
                 });
        return;
    }
    if (reader.seen_index == service.index && m_now < until)
    {
        schedule(std::min(until, m_now + milliseconds{20}),
                 [this, index, generation, until] { answer_watch(index, generation, until); });
        return;
    }
    reader.seen_index = service.index;
    schedule(m_now + service_delay,
             [this, index, generation, text = service.current.manifest]
             {
                 run_on_node(index, generation,
                             [this, text](node& target)
                             { return target.fleet->on_service_manifest(text, m_now); });
             });
}

void fleet_simulation::read(std::size_t index, const read_section& request)
{
    count_read();
    const auto found = service.current.sections.find(request.hash);
    if (!service.up || !nodes[index].service_linked || found == service.current.sections.end())
        return;
    schedule(m_now + service_delay,
             [this, index, generation = nodes[index].generation, text = found->second]
             {
                 run_on_node(index, generation,
                             [this, text](node& target)
                             { return target.fleet->on_section(text, m_now); });
             });
}

std::size_t fleet_simulation::running_count() const
{
    return static_cast<std::size_t>(
        std::count_if(nodes.begin(), nodes.end(), [](const node& n) { return n.running; }));
}

bool fleet_simulation::agrees() const
{
    for (const node& viewer : nodes)
    {
        if (!viewer.running)
            continue;
        std::set<core::node_id> expected;
        for (const node& other : nodes)
        {
            const bool counts = other.running && other.region == viewer.region && &other != &viewer;
            if (counts && other.fleet->self().state != member_state::leaving)
                expected.insert(other.fleet->self().id);
        }
        std::set<core::node_id> seen;
        for (const member_update& member : viewer.fleet->live_members())
            seen.insert(member.id);
        if (seen != expected || !viewer.fleet->suspected_members().empty())
            return false;
    }
    return true;
}

} // namespace snipeplank::fleet::tests
