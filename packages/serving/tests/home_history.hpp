/// @file
/// A fleet in virtual time whose operator moves homes, with cuts, restarts, forwarded and repeated
/// calls, for properties.

#ifndef SNIPEPLANK_SERVING_TESTS_HOME_HISTORY_HPP
#define SNIPEPLANK_SERVING_TESTS_HOME_HISTORY_HPP

#include <snipeplank/core/random.hpp>
#include <snipeplank/serving/client_accounts.hpp>
#include <snipeplank/serving/configuration_lease.hpp>
#include <snipeplank/serving/home_regions.hpp>
#include <snipeplank/serving/routing_table.hpp>
#include <snipeplank/serving/state_feed.hpp>
#include <snipeplank/serving/state_timing.hpp>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "../src/state_admission.hpp"
#include "property.hpp"

namespace snipeplank::serving::tests
{

using namespace std::chrono_literals;

constexpr char op_prefix[] = "op/";
constexpr char config[] = "op/config";
constexpr char host[] = "shop.example";
constexpr char nested[] = "/nested/"; ///< a longer prefix that some versions have
inline const core::account_id gold{"gold"};
constexpr core::milliseconds step{50};
constexpr core::milliseconds config_bound{5'000};
constexpr lease_terms terms{true, config_bound};
constexpr core::milliseconds open_time = state_timing::operator_watch_wait(terms);
constexpr core::milliseconds told_interval{500}; ///< between messages of a node to the others
/// How long a node that falls silent counts as heard. Less than the bound: needs no allowance.
constexpr core::milliseconds notice_time{2'000};
/// On the way between regions; less than the margin of a lease.
constexpr core::milliseconds forward_time = step;
constexpr core::milliseconds longest_repeat{15'000}; ///< of a call, after it began
constexpr std::size_t watchers = 2;                  ///< of the store, in each region
constexpr std::size_t calls_per_step = 2;
constexpr core::time_point begin = core::time_point{} + 1h;

/// What disturbs the nodes. Where more than half of them are cut off together, homes may bind late:
/// open (docs/decisions.md).
enum class home_history
{
    calm,
    cut_nodes,   ///< up to half of them reach neither the store nor others, only each other
    turned_away, ///< the store answers at least one node
    store_down,
    restarts,
    mixed, ///< cut, turned away, restarted; at most half of the nodes can't read the store
    last_kind = mixed,
};

/// One node: its copy of the configuration, when it was confirmed, and what others told.
struct model_node
{
    core::region_id region;
    replica items = replica();
    state_confirmation confirmation;
    std::map<std::size_t, core::time_point> heard; ///< the last message of each other node
    std::uint64_t newest_told = 0;
    core::time_point next_read = begin;
    core::time_point next_copy = begin;
    bool is_failing = false;
    bool is_cut = false;
    bool is_turned_away = false;
    unsigned run = 0;

    bool can_read() const { return !is_cut && !is_turned_away; }

    std::uint64_t version() const
    {
        const auto found = items.items().find(config);
        return found == items.items().end() ? 0 : std::stoull(found->second.value);
    }
};

/// What a node of the model knows of its configuration now.
class node_evidence final : public configuration_evidence
{
  public:
    node_evidence(const model_node& node, std::size_t fleet_size, core::time_point now)
        : m_node(node), m_fleet_size(fleet_size), m_now(now)
    {
    }

    std::optional<core::milliseconds> confirmed_age() const override
    {
        return m_node.confirmation.age(m_now);
    }

    bool is_newest_in_fleet() const override
    {
        const auto others =
            std::count_if(m_node.heard.begin(), m_node.heard.end(),
                          [this](const auto& each) { return m_now - each.second <= notice_time; });
        return 2 * (static_cast<std::size_t>(others) + 1) > m_fleet_size &&
               m_node.newest_told <= m_node.version();
    }

    bool is_behind() const override
    {
        return m_node.newest_told > m_node.version() && !terms.allow(confirmed_age());
    }

  private:
    const model_node& m_node;
    std::size_t m_fleet_size;
    core::time_point m_now;
};

struct model_call
{
    std::size_t entry = 0;
    unsigned run = 0; ///< of the entry node: its calls end with it
    std::string path;
    bool has_account = false;
    std::uint64_t began = 0; ///< the version with which it began
};

/// Nodes of several regions in virtual time, their operator and their clients.
class home_fleet
{
  public:
    home_fleet(std::size_t nodes, std::size_t regions, home_history kind, std::uint64_t seed)
        : m_kind(kind), m_random(seed), m_nodes(nodes), m_spared(m_random.below(nodes))
    {
        for (std::size_t i = 0; i < regions; ++i)
        {
            m_regions.emplace_back("region-" + std::to_string(i));
        }
        for (std::size_t i = 0; i < nodes; ++i)
        {
            m_nodes[i].region = m_regions[i % regions];
        }
    }

    /// Publishes a version in which homes have moved. A store that is down confirms none.
    void publish()
    {
        if (m_is_store_down)
            return;
        routing_table made;
        made.version = core::config_version{m_tables.size() + 1};
        made.routes.push_back(make_route("/", random_homes()));
        if (m_random.unit() < 0.4)
            made.routes.push_back(
                make_route(nested, m_random.unit() < 0.3 ? any_region() : random_homes()));
        client_account account;
        account.name = gold;
        if (m_random.unit() < 0.5)
            account.allowed_regions = random_homes();
        made.accounts.emplace();
        RC_ASSERT(made.accounts->add(account, {"key-of-gold"}));
        m_tables.push_back(std::move(made));
        m_confirmed.push_back(m_now);
    }

    void advance()
    {
        m_now += step;
        disturb();
        const bool is_readable =
            !m_is_store_down && std::any_of(m_nodes.begin(), m_nodes.end(),
                                            [](const model_node& each) { return each.can_read(); });
        if (!is_readable)
            m_unreadable_at = m_now;
        while (!m_due.empty() && m_due.top().at <= m_now)
        {
            const auto action = m_due.top().action;
            m_due.pop();
            action();
        }
        for (std::size_t i = 0; i < m_nodes.size(); ++i)
        {
            act(i);
        }
        for (std::size_t i = 0; i < calls_per_step; ++i)
        {
            begin_call();
        }
    }

    void take_store_down() { m_is_store_down = true; }
    void forget_counts() { m_placed = m_refused = m_turned_back = 0; }

    /// Whether a request ran where each version that may still count excludes it. One that is free
    /// by what the nodes know has no homes there, and is never refused.
    bool is_placed_late() const { return m_is_placed_late; }
    std::size_t placed() const { return m_placed; }   ///< requests with homes
    std::size_t refused() const { return m_refused; } ///< for homes that may have moved
    /// Forwarded calls that a node refused by another version, later than the bound.
    std::size_t turned_back() const { return m_turned_back; }

  private:
    struct event
    {
        core::time_point at{};
        std::uint64_t order = 0;
        std::function<void()> action;

        bool operator<(const event& other) const
        {
            return std::pair{at, order} > std::pair{other.at, other.order};
        }
    };

    void schedule(core::milliseconds after, std::function<void()> action)
    {
        m_due.push({m_now + after, ++m_order, std::move(action)});
    }

    std::vector<core::region_id> random_homes()
    {
        std::vector<core::region_id> homes{m_regions[m_random.below(m_regions.size())]};
        if (m_random.unit() < 0.2)
            homes.push_back(m_regions[m_random.below(m_regions.size())]);
        return homes;
    }

    static std::vector<core::region_id> any_region() { return {}; }

    static route make_route(const std::string& path_prefix, std::vector<core::region_id> homes)
    {
        route made;
        made.host = host;
        made.path_prefix = path_prefix;
        made.allowed_regions = std::move(homes);
        return made;
    }

    void disturb()
    {
        const std::size_t chosen = m_random.below(m_nodes.size());
        model_node& any = m_nodes[chosen];
        if (m_random.unit() >= 0.04)
            return;
        home_history kind = m_kind;
        constexpr home_history mixture[] = {home_history::cut_nodes, home_history::turned_away,
                                            home_history::restarts};
        if (kind == home_history::mixed)
            kind = mixture[m_random.below(std::size(mixture))];
        const bool is_on = m_random.unit() < 0.6;
        const auto blind = std::count_if(m_nodes.begin(), m_nodes.end(),
                                         [](const model_node& each) { return !each.can_read(); });
        const bool is_allowed = !any.can_read() ||
                                2 * (static_cast<std::size_t>(blind) + 1) <= m_nodes.size() ||
                                m_kind == home_history::turned_away;
        switch (kind)
        {
        case home_history::calm:
        case home_history::mixed:
            break;
        case home_history::cut_nodes:
            any.is_cut = is_on && is_allowed;
            break;
        case home_history::turned_away:
            any.is_turned_away = is_on && is_allowed && chosen != m_spared;
            break;
        case home_history::store_down:
            m_is_store_down = is_on;
            break;
        case home_history::restarts:
            model_node started;
            started.region = any.region;
            started.run = any.run + 1;
            started.is_cut = any.is_cut;
            started.is_turned_away = any.is_turned_away;
            started.next_read = started.next_copy = m_now;
            any = started;
            break;
        }
    }

    bool reach_each_other(std::size_t a, std::size_t b) const
    {
        return m_nodes[a].is_cut == m_nodes[b].is_cut;
    }

    void act(std::size_t i)
    {
        model_node& node = m_nodes[i];
        // Messages name the version of their sender; nodes send at different times.
        if ((m_now - begin + i * step) % told_interval == 0ms)
            tell_version(i);
        const bool is_watcher = i / m_regions.size() < watchers;
        if (m_now >= node.next_read && (is_watcher || node.is_failing))
            read_store(i);
        if (m_now < node.next_copy)
            return;
        const core::milliseconds copied =
            state_timing::copy_interval(terms, node.confirmation.age(m_now));
        node.next_copy = m_now + std::min(copied, state_timing::follow_interval);
        if (!is_watcher)
            copy(i, m_random.below(std::min(m_nodes.size(), watchers * m_regions.size())));
        // One that has just started takes what any other has.
        if (node.is_failing || node.version() == 0)
            copy(i, m_random.below(m_nodes.size()));
    }

    void tell_version(std::size_t sender)
    {
        for (std::size_t i = 0; i < m_nodes.size(); ++i)
        {
            if (i == sender || !reach_each_other(i, sender))
                continue;
            m_nodes[i].heard[sender] = m_now;
            m_nodes[i].newest_told = std::max(m_nodes[i].newest_told, m_nodes[sender].version());
        }
    }

    /// The answer reflects the store at a moment between the question and the answer.
    void read_store(std::size_t i)
    {
        model_node& node = m_nodes[i];
        node.next_read = m_now + 60s; // until the answer
        const core::milliseconds there{m_random.below(open_time.count())};
        const core::milliseconds back{m_random.below(open_time.count() - there.count())};
        const bool is_lost = !node.can_read() || m_is_store_down;
        schedule(there,
                 [this, i, asked_at = m_now, run = node.run, back, is_lost]
                 {
                     const std::uint64_t version = m_tables.size();
                     schedule(back, [this, i, asked_at, run, version, is_lost]
                              { on_store_answer(i, asked_at, run, version, is_lost); });
                 });
    }

    void on_store_answer(std::size_t i, core::time_point asked_at, unsigned run,
                         std::uint64_t version, bool is_lost)
    {
        model_node& node = m_nodes[i];
        if (node.run != run)
            return;
        node.next_read = m_now + state_timing::min_watch_interval;
        node.is_failing = is_lost || node.is_cut;
        if (node.is_failing)
        {
            node.items.on_unreachable(m_now);
            return;
        }
        node.items.on_reachable(m_now);
        node.items.on_snapshot({{config, {std::to_string(version), version}}}, version, m_now);
        node.confirmation.on_read(asked_at);
    }

    void copy(std::size_t i, std::size_t from)
    {
        if (i == from)
            return;
        // Without an answer a follower asks the store itself.
        m_nodes[i].is_failing = m_nodes[i].is_failing || !reach_each_other(i, from);
        if (!reach_each_other(i, from) || m_nodes[from].version() == 0)
            return;
        state_feed feed;
        feed.prefixes[op_prefix] = m_nodes[from].items.changes_since(0, m_now);
        feed.is_source_reachable = m_nodes[from].items.is_reachable();
        feed.confirmed_age = m_nodes[from].confirmation.age(m_now);
        // Over the wire, as between two processes.
        const auto told = decode_feed(encode_feed(feed));
        schedule(core::milliseconds{m_random.below(400)},
                 [this, i, asked_at = m_now, run = m_nodes[i].run, feed = told.value()]
                 {
                     model_node& node = m_nodes[i];
                     if (node.run != run)
                         return;
                     node.items.on_changes(feed.prefixes.at(op_prefix), m_now);
                     node.confirmation.on_copied(asked_at, feed.confirmed_age);
                     // As feed_follower does.
                     node.is_failing = node.is_failing || !feed.is_source_reachable;
                 });
    }

    home_regions homes_of(std::uint64_t version, const model_call& call) const
    {
        const routing_table& table = m_tables.at(version - 1);
        return {*table.find(host, call.path),
                call.has_account ? table.accounts->find(gold) : nullptr};
    }

    bool refuses(const model_node& node, const home_regions& homes)
    {
        const node_evidence evidence(node, m_nodes.size(), m_now);
        const bool is_refused =
            state_admission(terms, evidence).find_refusal(homes) != std::nullopt;
        m_refused += is_refused ? 1 : 0;
        return is_refused;
    }

    void begin_call()
    {
        model_call call;
        call.entry = m_random.below(m_nodes.size());
        call.run = m_nodes[call.entry].run;
        call.path = m_random.unit() < 0.5 ? std::string(nested) + "a" : "/a";
        call.has_account = m_random.unit() < 0.5;
        call.began = m_nodes[call.entry].version();
        if (call.began == 0)
            return;
        attempt(call);
        const core::milliseconds repeated{m_random.below(longest_repeat.count())};
        if (m_random.unit() < 0.3)
            schedule(repeated, [this, call] { attempt(call); });
    }

    void attempt(const model_call& call)
    {
        const model_node& node = m_nodes[call.entry];
        if (node.run != call.run)
            return;
        home_regions homes = homes_of(call.began, call);
        homes.restrict_to(homes_of(node.version(), call));
        if (refuses(node, homes))
            return;
        std::vector<std::size_t> servers;
        for (std::size_t i = 0; i < m_nodes.size(); ++i)
        {
            if (homes.contains(m_nodes[i].region) && reach_each_other(call.entry, i))
                servers.push_back(i);
        }
        if (servers.empty())
            return;
        const std::size_t chosen = servers[m_random.below(servers.size())];
        if (m_nodes[chosen].region == node.region)
            place(call, node.region, homes.is_restricted());
        else
            schedule(forward_time, [this, call, chosen, is_restricted = homes.is_restricted()]
                     { serve_forwarded(call, chosen, is_restricted); });
    }

    /// The serving node judges by its own version.
    void serve_forwarded(const model_call& call, std::size_t server, bool is_restricted)
    {
        const model_node& node = m_nodes[server];
        if (node.version() == 0)
            return;
        const home_regions homes = homes_of(node.version(), call);
        if (refuses(node, homes))
            return;
        if (homes.contains(node.region))
            place(call, node.region, is_restricted || homes.is_restricted());
        else if (m_now - m_confirmed.back() > config_bound)
            ++m_turned_back;
    }

    void place(const model_call& call, const core::region_id& region, bool is_restricted)
    {
        if (!is_restricted)
            return;
        ++m_placed;
        for (std::uint64_t version = m_tables.size(); version > 0; --version)
        {
            if (homes_of(version, call).contains(region))
                return;
            const core::time_point bound_from = std::max(m_confirmed[version - 1], m_unreadable_at);
            if (m_now - bound_from <= config_bound)
                continue;
            m_is_placed_late = true;
            return;
        }
    }

    home_history m_kind;
    core::seeded_random m_random;
    std::vector<model_node> m_nodes;
    std::size_t m_spared; ///< a node that the store always answers, unless it is cut off
    std::vector<core::region_id> m_regions;
    std::vector<routing_table> m_tables; ///< what the store had, by version
    std::vector<core::time_point> m_confirmed;
    std::priority_queue<event> m_due;
    std::uint64_t m_order = 0;
    core::time_point m_now = begin;
    core::time_point m_unreadable_at{}; ///< when no node could read the store, the last time
    bool m_is_store_down = false;
    bool m_is_placed_late = false;
    std::size_t m_placed = 0;
    std::size_t m_refused = 0;
    std::size_t m_turned_back = 0;
};

} // namespace snipeplank::serving::tests

#endif
