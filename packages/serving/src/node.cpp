#include <snipeplank/core/printable.hpp>
#include <snipeplank/core/random.hpp>
#include <snipeplank/policy/pause_watch.hpp>
#include <snipeplank/serving/host_time.hpp>
#include <snipeplank/serving/node.hpp>
#include <snipeplank/serving/state_feed.hpp>
#include <snipeplank/serving/stop_schedule.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <optional>
#include <set>
#include <string_view>
#include <utility>

#include "account_admission.hpp"
#include "call.hpp"
#include "call_log.hpp"
#include "clock.hpp"
#include "crash_guard.hpp"
#include "entry_points.hpp"
#include "fleet_contact.hpp"
#include "fleet_link.hpp"
#include "load_exchange.hpp"
#include "peer_calls.hpp"
#include "serving_end.hpp"
#include "stream_directory.hpp"
#include "suspension_watch.hpp"
#include "told_changes.hpp"

namespace snipeplank::serving
{

namespace asio = boost::asio;

namespace
{

/// The directory returns a stopping node for this long if its region has no live node.
constexpr core::milliseconds advertise_after_stop{2'000};
/// A node that stops as planned is back by then: the grace, and a restart.
constexpr core::milliseconds return_after_stop{10'000};
constexpr core::milliseconds housekeeping_interval{250};
constexpr core::milliseconds stop_check_interval{50};
constexpr core::milliseconds end_check_interval{5};
/// Part of the machine's memory for answers that wait for their callers, and for the bodies of
/// calls of other nodes: an eighth for each.
constexpr std::uint64_t held_part = 8;
constexpr int ok = 200;
constexpr int not_found = 404;
constexpr int unavailable = 503;

http::response text_response(int status, std::string text, std::string_view type = "text/plain")
{
    http::response answer;
    answer.head.status = status;
    answer.head.headers.emplace_back("Content-Type", type);
    answer.body = std::move(text);
    return answer;
}

/// The software version as other lines name it.
std::string version_key_of(const upstream& known)
{
    return to_hex(policy::software_version_of(known.service, known.software_version));
}

/// Whether two descriptions differ at most in their number.
bool says_the_same(const upstream& earlier, const upstream& later)
{
    if (earlier == later)
        return true;
    upstream renumbered = later;
    renumbered.report_number = earlier.report_number;
    return earlier == renumbered;
}

/// @brief Adapts a function to the request handler interface.
class function_handler final : public http::request_handler
{
  public:
    using function = std::function<asio::awaitable<void>(http::exchange&)>;

    explicit function_handler(function action) : m_action(std::move(action)) {}

    void set_limits(const http::server_limits& limits) { m_limits = limits; }
    http::server_limits limits() const override { return m_limits; }
    asio::awaitable<void> handle(http::exchange& request) override { return m_action(request); }

    /// Calls `action` for each request that is refused before it is handled.
    void on_rejected(std::function<void(int, std::string_view)> action)
    {
        m_on_rejected = std::move(action);
    }

    http::response reject(int status, std::string_view why) override
    {
        if (m_on_rejected)
            m_on_rejected(status, why);
        return http::request_handler::reject(status, why);
    }

  private:
    function m_action;
    std::function<void(int, std::string_view)> m_on_rejected;
    http::server_limits m_limits;
};

} // namespace

class node::state final : public state_listener,
                          public fleet_listener,
                          public origin_network,
                          public configuration_evidence,
                          public policy::quota_network
{
  public:
    state(asio::io_context& loop, node_options options, node_adapters adapters)
        : m_loop(loop), m_options(std::move(options)), m_adapters(adapters),
          m_random(core::system_seed()), m_log(m_options.name),
          m_answers(make_held_answers(m_options)), m_pool(loop), m_crash_guard(loop, m_pool, m_log),
          m_placement(m_options.region, m_options.bounds, m_random),
          m_loads(m_options.region, m_placement),
          m_fleet(loop, m_options, m_random, *this, wire::make_peer_network()),
          m_streams(m_options.region, *this, [this] { return list_age(); }),
          m_accounts(m_options.accounts, *this, m_random.next(), *this),
          m_homes(m_options.configuration_lease, *this),
          m_peers(
              loop, m_fleet.network(),
              {m_options.region, m_options.zone, {m_options.peer_address, m_fleet.incarnation()}},
              m_random, call_limits(m_options, m_answers)),
          m_environment{loop,    m_pool,        m_placement, adapters.callers, adapters.upstreams,
                        m_peers, m_crash_guard, m_streams,   m_accounts,       m_homes,
                        m_log,   m_statistics,  nullptr},
          m_calls([this](http::exchange& request) { return serve_call(request); }),
          m_control([this](http::exchange& request) { return serve_control(request); }),
          m_admin([this](http::exchange& request) { return serve_admin(request); }),
          m_call_server(loop, m_calls), m_ready_server(loop, m_control),
          m_directory_server(loop, m_control), m_admin_server(loop, m_admin), m_housekeeping(loop),
          m_ticks(loop), m_stop_timer(loop), m_origin_timer(loop), m_quota_timer(loop),
          m_stopping(m_options.stop_time)
    {
        m_crash_guard.on_crash(
            [this](const upstream_id& crashed)
            {
                m_placement.on_crashed(crashed);
                m_fleet.send_evidence();
            });
        m_peers.set_server([this](std::unique_ptr<http::exchange> request, forwarded_from from)
                           { serve_peer(std::move(request), std::move(from)); });
        m_environment.answers = m_answers;
        m_calls.set_limits(limits_of(routing_table{}));
        m_calls.on_rejected([this](int status, std::string_view why)
                            { record_rejected(status, why); });
    }

    core::result<void> start()
    {
        m_log.event(line_kind::lifecycle, "start",
                    {{"region", m_options.region.get()},
                     {"zone", m_options.zone.get()},
                     {"callers", m_options.caller_address.get()},
                     {"admin", m_options.admin_address.get()}});
        for (const auto& [server, address] :
             {std::pair{&m_call_server, &m_options.caller_address},
              std::pair{&m_ready_server, &m_options.readiness_address},
              std::pair{&m_directory_server, &m_options.directory_address},
              std::pair{&m_admin_server, &m_options.admin_address}})
        {
            if (address->get().empty())
                continue;
            if (const auto listening = server->listen(*address); !listening)
                return boost::outcome_v2::failure(listening.error());
        }
        if (auto started = m_fleet.start(); !started)
            return started;
        m_adapters.source.set_peers({m_options.admin_address,
                                     [this] { return admin_addresses(std::nullopt); },
                                     [this] { return admin_addresses(m_options.region); }});
        m_adapters.source.start(*this);
        on_members_changed();
        run_housekeeping();
        run_ticks();
        return boost::outcome_v2::success();
    }

    void reload(const node_options& changed)
    {
        m_fleet.set_seeds(changed.seeds);
        m_log.event(line_kind::lifecycle, "reload", {{"seeds", changed.seeds.size()}});
    }

    void begin_stop()
    {
        if (m_is_stopping)
            return;
        m_is_stopping = true;
        m_stop_began = now();
        m_log.event(line_kind::lifecycle, "stop_begins",
                    {{"active", m_call_server.active()}, {"forwarded", m_peers.served()}});
        m_streams.send_all(now());
        m_fleet.begin_leaving();
        m_call_server.begin_closing(m_stopping.service_time());
        m_environment.end->set(m_stop_began + m_stopping.last_answer_time());
        check_stop();
    }

    void on_configuration(std::shared_ptr<const routing_table> table) override
    {
        const bool is_first = m_environment.table == nullptr;
        m_environment.table = table;
        m_calls.set_limits(limits_of(*table));
        if (is_first)
        {
            m_fleet.announce_ready();
            on_members_changed();
        }
        m_log.event(line_kind::state_change, "configuration",
                    {{"version", table->version.get()},
                     {"routes", table->routes.size()},
                     {"asks_for_keys", table->accounts.has_value()},
                     {"accounts", table->accounts ? table->accounts->size() : 0}});
        m_accounts.set_table(*table);
        if (m_accounts.quotas().has_limits() && !std::exchange(m_has_quota_ticks, true))
            run_quota_ticks();
        core::milliseconds longest{0};
        std::set<std::string> names;
        for (const route& each : table->routes)
        {
            if (each.kind != request_kind::streaming)
                continue;
            longest = std::max(longest, each.timeout);
            names.insert(each.name);
        }
        m_streams.set_longest_stream(longest);
        m_environment.durations->keep([&](const std::string& name)
                                      { return names.contains(name); });
        m_placement.set_table(std::move(table));
    }

    void on_upstreams(const upstream_map& upstreams) override
    {
        for (const auto& [id, known] : upstreams)
        {
            const auto before = m_upstreams.find(id);
            if (before != m_upstreams.end() && says_the_same(before->second, known))
                continue;
            m_log.event(line_kind::state_change, "upstream",
                        {{"id", id.get()},
                         {"address", known.address.get()},
                         {"service", known.service.get()},
                         {"zone", known.zone.get()},
                         {"started_ms", known.started_ms},
                         {"software_version", known.software_version},
                         {"version_key", version_key_of(known)},
                         {"leaving", known.is_leaving},
                         {"cold_ms", known.cold_for.count()}});
        }
        for (const auto& [id, known] : m_upstreams)
        {
            if (!upstreams.contains(id))
                m_log.event(line_kind::state_change, "upstream_gone", {{"id", id.get()}});
        }
        m_upstreams = upstreams;
        m_placement.set_upstreams(upstreams, now());
        m_streams.set_upstreams(upstreams, now());
    }

    void on_evacuations(const zone_set& zones) override
    {
        nlohmann::json names = nlohmann::json::array();
        for (const core::zone_id& zone : zones)
        {
            names.push_back(zone.get());
        }
        m_log.event(line_kind::state_change, "evacuations", {{"zones", names}});
        m_placement.set_evacuations(zones, now());
        m_fleet.announce_state();
    }

    void on_state_read(const state_read& read) override
    {
        m_log.event(line_kind::state_change, "state_read",
                    {{"kind", to_string(read.kind)},
                     {"by", to_string(read.by)},
                     {"bytes", read.bytes.count},
                     {"waited_ms", read.waited.count()},
                     {"received_ms", read.received.count()},
                     {"applied_ms", read.applied.count()}});
    }

    void on_members_changed() override
    {
        m_nodes = m_fleet.live_nodes();
        std::vector<region_node> others;
        std::vector<live_node> all_others;
        std::vector<policy::quota_node> quota_nodes;
        std::set<core::address> live;
        for (const live_node& each : m_nodes)
        {
            live.insert(each.peer);
            if (each.region != m_options.region)
                others.push_back({each.peer, each.region});
            if (each.peer == m_options.peer_address)
                continue;
            all_others.push_back(each);
            quota_nodes.push_back({each.peer, each.region});
        }
        m_accounts.quotas().set_nodes(m_options.peer_address, m_options.region,
                                      std::move(quota_nodes));
        m_told.keep(live);
        m_peers.set_nodes(std::move(others));
        m_streams.set_nodes(all_others, now());
        sharing_nodes sharing = m_fleet.sharing();
        m_node_share = sharing.fleet;
        m_region_share = sharing.region;
        m_accounts.quotas().set_share(sharing.quotas, host_time());
        m_contact.set_nodes(m_nodes.size(), sharing.quotas.nodes());
        m_placement.set_sharing_nodes(std::move(sharing), now());
        report_node_count();
        refresh_regions();
    }

    void on_call_message(const wire::peer_identity& from, const wire::message& what) override
    {
        if (const auto* quotas = std::get_if<policy::quota_message>(&what))
            m_accounts.quotas().on_message(from.node.address, *quotas, host_time());
        else
            m_peers.on_message(from, what);
    }

    void on_peer_lost(const core::address& peer) override
    {
        m_log.event(line_kind::state_change, "peer_lost", {{"peer", peer.get()}});
    }

    void on_connection_lost(wire::connection_number lost) override
    {
        m_peers.on_connection_lost(lost);
    }

    void on_call_sent(core::call_number number, wire::connection_number by) override
    {
        m_peers.on_call_sent(number, by);
    }

    void on_call_dropped(const core::address& peer, core::call_number number,
                         wire::drop_cause cause) override
    {
        m_peers.on_call_dropped(peer, number, cause);
    }

    void on_peer_loads(const fleet::gossip& received) override
    {
        m_loads.on_received(received, m_environment.table.get(), now());
        refresh_regions();
    }

    void on_evidence(const fleet::gossip& received) override
    {
        m_crash_guard.on_evidence(received);
        if (received.sender_region == m_options.region)
            m_loads.on_feedback(received, now());
    }

    void on_stream_origins(const fleet::gossip& received) override
    {
        m_streams.on_received(received, now());
    }

    void send_origins(const core::address& to, std::vector<fleet::stream_origin> origins,
                      std::vector<fleet::stream_origin> wanted) override
    {
        m_fleet.send_origins(to, std::move(origins), std::move(wanted));
    }

    void send(const core::address& to, policy::quota_message what) override
    {
        m_fleet.network().send(to, std::move(what));
    }

    std::optional<core::milliseconds> confirmed_age() const override
    {
        return m_adapters.source.confirmed_age(state_kind::configuration);
    }

    bool is_newest_in_fleet() const override
    {
        return m_environment.table && m_contact.reaches_most(host_time()) &&
               m_fleet.newest_told() <= m_environment.table->version;
    }

    bool is_behind() const override
    {
        return is_behind(state_kind::configuration, m_options.configuration_lease) ||
               is_behind(state_kind::evacuations, m_options.evacuation_lease);
    }

    fleet::state_change newest_change(state_kind kind) const override
    {
        const store_revision newest = m_adapters.source.changed(kind);
        return {newest.era, newest.revision};
    }

    void on_state_told(const fleet::gossip& received) override
    {
        const core::node_id& node = received.sender.id;
        for (const auto& [kind, told] :
             {std::pair{state_kind::configuration, received.configuration_change},
              std::pair{state_kind::evacuations, received.evacuations_change}})
        {
            const store_revision change{told.era, told.revision};
            m_told.on_told(node, kind, change);
            if (m_adapters.source.is_newer(kind, change))
                m_adapters.source.on_told(kind, change, admin_address_of(node.address));
        }
    }

    void wake_in(core::milliseconds span) override
    {
        const core::time_point at = now() + span;
        if (m_origins_due && *m_origins_due <= at)
            return;
        m_origins_due = at;
        m_origin_timer.expires_at(at);
        m_origin_timer.async_wait(
            [this](const boost::system::error_code& error)
            {
                if (error)
                    return;
                m_origins_due.reset();
                m_streams.send_due(now());
            });
    }

    bool add_evidence(fleet::gossip& message) override
    {
        const bool has_prompts = m_crash_guard.add_evidence(message);
        return m_loads.add_feedback(message, now()) || has_prompts;
    }

    std::vector<fleet::upstream_load> own_loads() override { return m_loads.own_upstreams(); }

    core::config_version version_in_force() const override
    {
        return m_environment.table ? m_environment.table->version : core::config_version{};
    }

    fleet::region_summary own_region() override
    {
        return m_loads.own_region(m_fleet.incarnation(), now());
    }

  private:
    /// The published limits, and what follows from the machine.
    http::server_limits limits_of(const routing_table& table) const
    {
        constexpr std::uint64_t body_part = 4;
        http::server_limits limits = table.limits;
        if (m_options.memory.count > 0)
            limits.all_body_bytes =
                std::max<std::size_t>(m_options.memory.count / body_part, limits.body_bytes);
        if (m_options.descriptors > 0)
            limits.connections = std::min(limits.connections, max_client_connections());
        return limits;
    }

    /// Each client's connection may need another one to an upstream. The rest of the descriptors is
    /// for files and for the other nodes.
    std::size_t max_client_connections() const
    {
        constexpr std::size_t reserved = 200;
        constexpr std::size_t least = 16;
        const std::size_t others = reserved + m_nodes.size();
        const std::size_t free = m_options.descriptors - std::min(m_options.descriptors, others);
        return std::max(least, free / 2);
    }

    /// What calls may hold of the memory of the machine.
    static peer_call_limits call_limits(const node_options& options,
                                        const std::shared_ptr<held_answers>& answers)
    {
        peer_call_limits limits;
        limits.answers = answers;
        if (options.memory.count > 0)
            limits.served_bodies = {options.memory.count / held_part};
        return limits;
    }

    static std::shared_ptr<held_answers> make_held_answers(const node_options& options)
    {
        if (options.memory.count == 0)
            return std::make_shared<held_answers>();
        return std::make_shared<held_answers>(core::bytes{options.memory.count / held_part});
    }

    bool serves_new() const
    {
        return !m_is_stopping || m_stopping.serves_new(now() - m_stop_began);
    }

    asio::awaitable<void> serve_call(http::exchange& request)
    {
        if (!serves_new())
        {
            co_await refuse_while_stopping(request);
            co_return;
        }
        call served(m_environment, request, std::nullopt);
        co_await served.run();
    }

    asio::awaitable<void> refuse_while_stopping(http::exchange& request)
    {
        const policy::refusal why = stopping_refusal();
        const auto caller = m_adapters.callers.read(request.head());
        const http::response answer =
            m_adapters.callers.refuse(caller ? caller.value() : caller_request(), why);
        call_outcome_line line;
        line.request_id = caller ? caller.value().id : std::string();
        line.outcome = policy::to_string(why.reason);
        line.executed = policy::to_string(why.executed);
        line.status = answer.head.status;
        line.retry_after_ms = static_cast<double>(why.retry_after.count());
        m_statistics.add(line);
        m_log.call_ended(line);
        co_await request.send(answer);
    }

    void record_rejected(int status, std::string_view why)
    {
        m_statistics.count_rejected(status);
        m_log.event(
            line_kind::failure, "request_rejected",
            {{"status", status}, {"cause", why}, {"config_version", version_in_force().get()}});
    }

    void serve_peer(std::unique_ptr<http::exchange> request, forwarded_from from)
    {
        if (!serves_new())
        {
            from.refuse(stopping_refusal());
            return;
        }
        asio::co_spawn(m_loop, run_peer_call(std::move(request), std::move(from)), asio::detached);
    }

    asio::awaitable<void> run_peer_call(std::unique_ptr<http::exchange> request,
                                        forwarded_from from)
    {
        call served(m_environment, *request, std::move(from));
        co_await served.run();
    }

    static http::response status_answer(bool is_good)
    {
        return text_response(is_good ? ok : unavailable, "");
    }

    asio::awaitable<void> serve_control(http::exchange& request)
    {
        const control_request read = m_adapters.control.read(request.head());
        switch (read.question)
        {
        case control_question::is_ready:
            co_await request.send(status_answer(is_ready()));
            break;
        case control_question::entry_points:
            co_await request.send(m_adapters.control.entry_points(entry_points(read),
                                                                  m_options.entry_point_lifetime));
            break;
        case control_question::unknown:
            co_await request.send(text_response(not_found, "no such path\n"));
            break;
        }
    }

    asio::awaitable<void> serve_admin(http::exchange& request)
    {
        const std::string_view path = http::path_of(request.head().target);
        if (path == "/metrics")
            co_await request.send(text_response(ok, metrics()));
        else if (path == "/readyz")
            co_await request.send(status_answer(is_ready()));
        else if (path == state_path)
            co_await request.send(
                text_response(ok, m_adapters.source.feed(http::query_of(request.head().target)),
                              "application/json"));
        else
            co_await request.send(text_response(not_found, "no such path\n"));
    }

    bool is_ready() const { return !m_is_stopping && m_environment.table != nullptr; }

    std::vector<core::address> entry_points(const control_request& asked)
    {
        entry_view view;
        view.live = m_nodes;
        view.table = m_environment.table.get();
        view.has_current_homes = m_homes.are_current();
        // The rest matters only to clients of a region without a live node.
        const bool is_served =
            std::any_of(m_nodes.begin(), m_nodes.end(),
                        [&](const live_node& each)
                        { return each.region == asked.region || each.zone == asked.zone; });
        if (!is_served)
            add_stopping_nodes(view);
        entry_choice chosen = choose_entry_points(asked, view);
        ++m_entry_answers.at(static_cast<std::size_t>(chosen.group));
        return std::move(chosen.addresses);
    }

    void add_stopping_nodes(entry_view& view) const
    {
        for (const auto& [zone, region] : m_options.zones)
        {
            if (view.stopping.contains(region))
                continue;
            view.stopping[region] = m_fleet.stopping_nodes(region, advertise_after_stop);
            view.expected_back[region] = m_fleet.stopping_nodes(region, return_after_stop);
            if (m_fleet.may_not_know(region))
                view.unknown_regions.insert(region);
        }
    }

    /// Answers of the directory by the group that they name.
    std::string entry_metrics() const
    {
        const std::string name = "snipeplank_directory_answers_total";
        std::string text = "# TYPE " + name + " counter\n";
        for (std::size_t i = 0; i < entry_group_count; ++i)
        {
            text += name + "{group=\"" + std::string(to_string(static_cast<entry_group>(i))) +
                    "\"} " + std::to_string(m_entry_answers.at(i)) + "\n";
        }
        return text;
    }

    /// Logs when the state of a kind becomes older than it may be, and when it no longer is.
    void check_state_age()
    {
        for (const auto& [kind, lease] :
             {std::pair{state_kind::configuration, &m_options.configuration_lease},
              std::pair{state_kind::evacuations, &m_options.evacuation_lease}})
        {
            const auto age = m_adapters.source.confirmed_age(kind);
            const bool is_late = age && !lease->allow(age);
            if (is_late == m_late_kinds.contains(kind))
                continue;
            if (is_late)
                m_late_kinds.insert(kind);
            else
                m_late_kinds.erase(kind);
            m_log.event(line_kind::state_change, is_late ? "state_late" : "state_current",
                        {{"kind", to_string(kind)},
                         {"confirmed_age_ms", age ? age->count() : 0},
                         {"has_newer_told", is_behind(kind, *lease)}});
        }
    }

    bool is_behind(state_kind kind, const lease_terms& lease) const
    {
        return !lease.allow(m_adapters.source.confirmed_age(kind)) &&
               m_adapters.source.is_newer(kind, m_told.newest(kind));
    }

    /// All nodes have the same ports.
    core::address admin_address_of(const core::address& peer) const
    {
        const std::string& own = m_options.admin_address.get();
        const std::string& other = peer.get();
        return core::address{other.substr(0, other.rfind(':')) + own.substr(own.rfind(':'))};
    }

    /// Admin addresses of the other live nodes, of one region or of all.
    std::vector<core::address> admin_addresses(const std::optional<core::region_id>& region) const
    {
        std::vector<core::address> addresses;
        for (const live_node& each : m_nodes)
        {
            if (each.peer == m_options.peer_address || (region && each.region != *region))
                continue;
            addresses.push_back(admin_address_of(each.peer));
        }
        return addresses;
    }

    /// Logs the node count by which bounds are divided, when it has changed much.
    void report_node_count()
    {
        constexpr std::size_t reported_part = 10;
        const std::size_t count = m_node_share.nodes();
        const std::size_t difference =
            std::max(count, m_reported_node_count) - std::min(count, m_reported_node_count);
        if (difference * reported_part <= m_reported_node_count)
            return;
        m_reported_node_count = count;
        m_log.event(line_kind::state_change, "node_count",
                    {{"in_fleet", count},
                     {"in_region", m_region_share.nodes()},
                     {"live", m_nodes.size()},
                     {"retry_slack_share", m_placement.retry_slack_share()}});
    }

    void refresh_regions()
    {
        std::set<core::region_id> reachable;
        for (const live_node& each : m_nodes)
        {
            reachable.insert(each.region);
        }
        m_loads.publish_regions(reachable);
    }

    /// Time since the list of upstreams was confirmed; nothing if it does not follow the store.
    std::optional<core::milliseconds> list_age() const
    {
        if (!m_adapters.source.is_reachable(state_kind::upstreams))
            return std::nullopt;
        return m_adapters.source.confirmed_age(state_kind::upstreams);
    }

    void run_housekeeping()
    {
        m_pool.sweep(now());
        m_streams.check_versions(now());
        check_state_age();
        m_housekeeping.expires_after(housekeeping_interval);
        m_housekeeping.async_wait(
            [this](const boost::system::error_code& error)
            {
                if (!error)
                    run_housekeeping();
            });
    }

    void run_ticks()
    {
        if (m_suspensions.take_suspension())
        {
            m_placement.on_resumed(now());
            m_streams.interrupt(now());
        }
        m_placement.on_tick(now());
        m_contact.on_tick(host_time());
        m_ticks.expires_after(policy::pause_watch::tick_interval);
        m_ticks.async_wait(
            [this](const boost::system::error_code& error)
            {
                if (!error)
                    run_ticks();
            });
    }

    /// Runs from the first configuration with a limit on.
    void run_quota_ticks()
    {
        m_accounts.quotas().on_tick(host_time());
        m_quota_timer.expires_after(policy::quota_exchange::tick_interval);
        m_quota_timer.async_wait(
            [this](const boost::system::error_code& error)
            {
                if (!error)
                    run_quota_ticks();
            });
    }

    void check_stop()
    {
        const core::duration elapsed = now() - m_stop_began;
        if (!m_stopping.serves_new(elapsed))
            m_call_server.close_listener();
        const bool is_idle = !m_call_server.is_listening() && m_call_server.connections() == 0 &&
                             m_peers.served() == 0;
        if (m_stopping.must_exit(elapsed, is_idle))
        {
            begin_end();
            return;
        }
        m_stop_timer.expires_after(stop_check_interval);
        m_stop_timer.async_wait(
            [this](const boost::system::error_code& error)
            {
                if (!error)
                    check_stop();
            });
    }

    /// Closes the listeners that serve until the end.
    void begin_end()
    {
        m_end_began = now();
        for (http::server* each : servers())
        {
            each->close_listener();
            each->begin_closing(core::milliseconds{0});
        }
        check_end();
    }

    void check_end()
    {
        const auto all = servers();
        const bool has_ended =
            std::all_of(all.begin(), all.end(),
                        [](const http::server* each)
                        { return !each->is_listening() && each->connections() == 0; });
        if (has_ended || now() - m_end_began >= m_stopping.closing_time())
        {
            m_log.event(line_kind::lifecycle, "stop",
                        {{"active", m_call_server.active()}, {"forwarded", m_peers.served()}});
            m_fleet.stop();
            m_loop.stop();
            return;
        }
        m_stop_timer.expires_after(end_check_interval);
        m_stop_timer.async_wait(
            [this](const boost::system::error_code& error)
            {
                if (!error)
                    check_end();
            });
    }

    std::array<http::server*, 4> servers()
    {
        return {&m_call_server, &m_ready_server, &m_directory_server, &m_admin_server};
    }

    std::string metrics() const
    {
        std::string text = m_statistics.render();
        const auto gauge = [&](const std::string& name, std::size_t value)
        { text += "# TYPE " + name + " gauge\n" + name + " " + std::to_string(value) + "\n"; };
        gauge("snipeplank_calls_active", m_call_server.active());
        gauge("snipeplank_forwarded_calls_active", m_peers.served());
        gauge("snipeplank_client_connections", m_call_server.connections());
        gauge("snipeplank_idle_upstream_connections", m_pool.size());
        gauge("snipeplank_held_answer_bytes", m_answers->bytes());
        gauge("snipeplank_live_nodes", m_nodes.size());
        gauge("snipeplank_sharing_nodes", m_node_share.nodes());
        gauge("snipeplank_sharing_nodes_in_region", m_region_share.nodes());
        gauge("snipeplank_upstreams", m_upstreams.size());
        gauge("snipeplank_cold_upstreams", m_placement.cold_upstreams(now()));
        gauge("snipeplank_unverified_upstreams", m_placement.unverified_upstreams(now()));
        gauge("snipeplank_config_version",
              m_environment.table ? m_environment.table->version.get() : 0);
        gauge("snipeplank_state_source_reachable", is_source_reachable() ? 1 : 0);
        gauge("snipeplank_log_lines_dropped", m_log.dropped());
        gauge("snipeplank_log_lines_left_out", log::left_out());
        gauge("snipeplank_quarantined_prompt_parts", m_crash_guard.quarantined());
        text +=
            "# TYPE snipeplank_upstream_crashes_total counter\nsnipeplank_upstream_crashes_total " +
            std::to_string(m_crash_guard.crashes()) + "\n";
        return text + stream_metrics() + retry_metrics() + entry_metrics() + state_metrics() +
               account_metrics();
    }

    bool is_source_reachable() const
    {
        return std::all_of(all_state_kinds.begin(), all_state_kinds.end(),
                           [this](state_kind kind)
                           { return m_adapters.source.is_reachable(kind); });
    }

    /// Nothing of a kind before its first confirmation.
    std::string state_metrics() const
    {
        const std::string name = "snipeplank_state_confirmed_age_ms";
        std::string text = "# TYPE " + name + " gauge\n";
        for (const state_kind kind : all_state_kinds)
        {
            if (const auto age = m_adapters.source.confirmed_age(kind))
                text += name + "{kind=\"" + std::string(to_string(kind)) + "\"} " +
                        std::to_string(age->count()) + "\n";
        }
        return text;
    }

    /// Nothing where the configuration lists no accounts.
    std::string account_metrics() const
    {
        if (!m_environment.table || !m_environment.table->accounts)
            return {};
        const policy::quota_counters& counted = m_accounts.quotas().counters();
        std::string text = "# TYPE snipeplank_accounts gauge\nsnipeplank_accounts " +
                           std::to_string(m_environment.table->accounts->size()) + "\n";
        text += "# TYPE snipeplank_quota_requests_total counter\n";
        const auto add = [&](const std::string& name, std::uint64_t value)
        { text += "snipeplank_quota_" + name + " " + std::to_string(value) + "\n"; };
        add("requests_total{outcome=\"granted\"}", counted.granted);
        add("requests_total{outcome=\"granted_after_wait\"}", counted.waited);
        add("requests_total{outcome=\"refused\"}", counted.refused);
        text += "# TYPE snipeplank_quota_messages_total counter\n";
        add("messages_total", counted.messages);
        text += "# TYPE snipeplank_quota_units_total counter\n";
        add("units_total{direction=\"received\"}",
            static_cast<std::uint64_t>(counted.units_received));
        add("units_total{direction=\"given_away\"}",
            static_cast<std::uint64_t>(counted.units_given_away));
        return text;
    }

    std::string stream_metrics() const
    {
        const directory_counters& counted = m_streams.counters();
        std::string text = "# TYPE snipeplank_held_streams gauge\nsnipeplank_held_streams " +
                           std::to_string(m_streams.held(now())) +
                           "\n# TYPE snipeplank_stream_origins_total counter\n";
        const auto add = [&](std::string_view name, std::string_view label, std::uint64_t value)
        {
            text += "snipeplank_" + std::string(name) + "{" + std::string(label) + "} " +
                    std::to_string(value) + "\n";
        };
        add("stream_origins_total", "kind=\"told\"", counted.told);
        add("stream_origins_total", "kind=\"asked\"", counted.asked);
        add("stream_origins_total", "kind=\"answered\"", counted.answered);
        add("stream_origins_total", "kind=\"message\"", counted.messages);
        text += "# TYPE snipeplank_stream_take_ups_total counter\n";
        for (std::size_t i = 0; i < origin_source_count; ++i)
        {
            add("stream_take_ups_total",
                "origin=\"" + std::string(to_string(static_cast<origin_source>(i))) + "\"",
                counted.take_ups.at(i));
        }
        return text;
    }

    std::string retry_metrics() const
    {
        std::string text = "# TYPE snipeplank_retry_slack_share gauge\n"
                           "snipeplank_retry_slack_share " +
                           std::to_string(m_placement.retry_slack_share()) +
                           "\n# TYPE snipeplank_retries_in_window gauge\n";
        for (const auto& [service, taken] : m_placement.retries_taken(now()))
        {
            text += "snipeplank_retries_in_window{service=\"" + core::metric_label(service.get()) +
                    "\"} " + std::to_string(static_cast<std::uint64_t>(taken)) + "\n";
        }
        return text;
    }

    asio::io_context& m_loop;
    node_options m_options;
    node_adapters m_adapters;
    core::seeded_random m_random;
    call_log m_log;
    call_statistics m_statistics;
    std::shared_ptr<held_answers> m_answers;
    http::connection_pool m_pool;
    crash_guard m_crash_guard;
    placement m_placement;
    load_exchange m_loads;
    fleet_link m_fleet;
    stream_directory m_streams;
    account_admission m_accounts;
    state_admission m_homes;
    suspension_watch m_suspensions; ///< of the ticks; calls look by themselves
    peer_calls m_peers;
    call_environment m_environment;
    function_handler m_calls;
    function_handler m_control;
    function_handler m_admin;
    http::server m_call_server;
    http::server m_ready_server;
    http::server m_directory_server;
    http::server m_admin_server;
    asio::steady_timer m_housekeeping;
    asio::steady_timer m_ticks;
    asio::steady_timer m_stop_timer;
    asio::steady_timer m_origin_timer;
    asio::steady_timer m_quota_timer;
    std::optional<core::time_point> m_origins_due;
    std::vector<live_node> m_nodes;
    fleet_contact m_contact;
    told_changes m_told;
    std::set<state_kind> m_late_kinds; ///< whose state is older than it may be
    upstream_map m_upstreams;
    stop_schedule m_stopping;
    core::time_point m_stop_began{};
    core::time_point m_end_began{};
    policy::node_share m_node_share;
    policy::node_share m_region_share;
    std::size_t m_reported_node_count = 0;
    std::array<std::uint64_t, entry_group_count> m_entry_answers{};
    bool m_is_stopping = false;
    bool m_has_quota_ticks = false;
};

node::node(asio::io_context& loop, node_options options, node_adapters adapters)
    : m_state(std::make_unique<state>(loop, std::move(options), adapters))
{
}

node::~node() = default;

core::result<void> node::start()
{
    return m_state->start();
}

void node::reload(const node_options& changed)
{
    m_state->reload(changed);
}

void node::begin_stop()
{
    m_state->begin_stop();
}

} // namespace snipeplank::serving
