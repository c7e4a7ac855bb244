/// Tests that a key that was taken away is accepted nowhere later than the bound: by nodes that
/// watch the store, follow others or copy them, with late answers, cuts, pauses and restarts.

#include <snipeplank/core/random.hpp>
#include <snipeplank/serving/configuration_lease.hpp>
#include <snipeplank/serving/state_feed.hpp>
#include <snipeplank/serving/state_timing.hpp>

#include <chrono>
#include <deque>
#include <functional>
#include <queue>
#include <string>
#include <vector>

#include "property.hpp"

using namespace snipeplank;
using namespace snipeplank::serving;
using namespace std::chrono_literals;
using snipeplank::tests::check_property;

namespace
{

constexpr char prefix[] = "op/";
constexpr char config[] = "op/config";
constexpr core::milliseconds step{50};
constexpr core::milliseconds revoke_bound{5'000};
constexpr core::milliseconds open_time = state_timing::operator_watch_wait({true, revoke_bound});
const core::time_point begin = core::time_point{} + 1h;

/// What disturbs the nodes.
enum class revocation_history
{
    calm,
    slow_store,  ///< answers come up to three seconds late, some never
    turned_away, ///< the store answers a third of the nodes only
    store_down,
    cut_nodes, ///< reach neither the store nor other nodes
    paused_nodes,
    restarts,
    last_kind = restarts,
};

/// One node: its copy of the configuration, and when it was confirmed.
struct model_node
{
    replica items = replica();
    state_confirmation confirmation;
    core::time_point next_watch = begin;
    core::time_point next_follow = begin;
    core::time_point failing_since{};
    core::time_point paused_until{};
    bool is_cut = false;
    bool is_turned_away = false;
    unsigned run = 0;

    std::uint64_t version() const
    {
        const auto found = items.items().find(config);
        return found == items.items().end() ? 0 : std::stoull(found->second.value);
    }
};

/// Nodes of one region in virtual time. The first two watch the store, the others follow one of
/// them, and each that fails copies any other.
class model_fleet
{
  public:
    model_fleet(std::size_t nodes, revocation_history kind, std::uint64_t seed)
        : m_kind(kind), m_random(seed), m_nodes(nodes)
    {
    }

    /// Publishes a configuration; each takes a key away.
    void publish()
    {
        ++m_version;
        m_confirmed.push_back(m_now);
    }

    void advance()
    {
        m_now += step;
        disturb();
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
    }

    /// Whether a node would serve a key that was taken away more than the bound before.
    bool accepts_late() const
    {
        for (const model_node& each : m_nodes)
        {
            if (!accepts(each))
                continue;
            // The oldest key that this node still accepts was taken away by the next version.
            const std::uint64_t known = each.version();
            if (known < m_version && m_now - m_confirmed[known] > revoke_bound)
                return true;
        }
        return false;
    }

    bool accepts(const model_node& node) const
    {
        const lease_terms terms{true, revoke_bound};
        return node.paused_until <= m_now && node.version() > 0 &&
               terms.allow(node.confirmation.age(m_now));
    }

    std::size_t accepting() const
    {
        std::size_t count = 0;
        for (const model_node& each : m_nodes)
        {
            count += accepts(each) ? 1 : 0;
        }
        return count;
    }

    void turn_away(std::size_t node) { m_nodes[node].is_turned_away = true; }
    std::size_t size() const { return m_nodes.size(); }

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

    void disturb()
    {
        model_node& any = m_nodes[m_random.below(m_nodes.size())];
        const bool is_now = m_random.unit() < 0.04;
        if (!is_now)
            return;
        switch (m_kind)
        {
        case revocation_history::calm:
        case revocation_history::slow_store:
            break;
        case revocation_history::turned_away:
            any.is_turned_away = m_random.unit() < 0.33;
            break;
        case revocation_history::store_down:
            m_is_store_down = m_random.unit() < 0.6;
            break;
        case revocation_history::cut_nodes:
            any.is_cut = m_random.unit() < 0.6;
            break;
        case revocation_history::paused_nodes:
            any.paused_until = m_now + core::milliseconds{m_random.below(9'000)};
            break;
        case revocation_history::restarts:
            const unsigned run = any.run + 1;
            any = model_node();
            any.run = run;
            any.next_watch = m_now;
            any.next_follow = m_now;
            break;
        }
    }

    bool is_idle(std::size_t i) const { return m_nodes[i].paused_until > m_now; }

    /// Delays of a request and its answer; some of a slow store never come.
    core::milliseconds delay()
    {
        const std::uint64_t longest = m_kind == revocation_history::slow_store ? 3'000 : 20;
        return core::milliseconds{m_random.below(longest + 1)};
    }

    void act(std::size_t i)
    {
        model_node& node = m_nodes[i];
        if (is_idle(i))
            return;
        constexpr std::size_t watchers = 2;
        if (m_now >= node.next_watch && (i < watchers || is_failing(node)))
        {
            node.next_watch = m_now + 60s; // until the answer, or its time-out
            read_store(i);
        }
        if (m_now < node.next_follow)
            return;
        const lease_terms terms{true, revoke_bound};
        const core::milliseconds copied =
            state_timing::copy_interval(terms, node.confirmation.age(m_now));
        node.next_follow = m_now + std::min(copied, state_timing::follow_interval);
        if (i >= watchers)
            copy(i, m_random.below(watchers));
        if (is_failing(node))
            copy(i, m_random.below(m_nodes.size()));
    }

    bool is_failing(const model_node& node) const
    {
        return node.failing_since != core::time_point{};
    }

    /// The answer reflects the store at some moment between the question and the answer; a watch
    /// stays open while nothing changes.
    void read_store(std::size_t i)
    {
        const core::time_point asked_at = m_now;
        const unsigned run = m_nodes[i].run;
        const core::milliseconds there = delay();
        const core::milliseconds back = delay();
        const core::milliseconds open{m_random.below(open_time.count() + 1)};
        const bool is_lost = m_nodes[i].is_cut || m_nodes[i].is_turned_away || m_is_store_down ||
                             (m_kind == revocation_history::slow_store && m_random.unit() < 0.2);
        schedule(there,
                 [this, i, asked_at, run, back, open, is_lost]
                 {
                     const std::uint64_t version = m_version;
                     schedule(open + back, [this, i, asked_at, run, version, is_lost]
                              { on_store_answer(i, asked_at, run, version, is_lost); });
                 });
    }

    void on_store_answer(std::size_t i, core::time_point asked_at, unsigned run,
                         std::uint64_t version, bool is_lost)
    {
        model_node& node = m_nodes[i];
        if (node.run != run)
            return;
        if (is_idle(i))
        {
            // Read when the node wakes.
            schedule(std::chrono::ceil<core::milliseconds>(node.paused_until - m_now) + step,
                     [this, i, asked_at, run, version, is_lost]
                     { on_store_answer(i, asked_at, run, version, is_lost); });
            return;
        }
        node.next_watch = m_now + state_timing::min_watch_interval;
        if (is_lost || node.is_cut)
        {
            if (!is_failing(node))
                node.failing_since = m_now;
            node.items.on_unreachable(m_now);
            return;
        }
        node.failing_since = {};
        node.items.on_reachable(m_now);
        replica_items listed;
        if (version > 0)
            listed[config] = {std::to_string(version), version};
        node.items.on_snapshot(listed, version, m_now);
        node.confirmation.on_read(asked_at);
    }

    void copy(std::size_t i, std::size_t from)
    {
        if (from == i || m_nodes[i].is_cut || m_nodes[from].is_cut)
            return;
        const core::time_point asked_at = m_now;
        const unsigned run = m_nodes[i].run;
        schedule(core::milliseconds{m_random.below(40)},
                 [this, i, from, asked_at, run]
                 {
                     if (is_idle(from))
                         return;
                     state_feed feed;
                     feed.prefixes[prefix] = m_nodes[from].items.changes_since(0, m_now);
                     feed.confirmed_age = m_nodes[from].confirmation.age(m_now);
                     // Over the wire, as between two processes.
                     const auto told = decode_feed(encode_feed(feed));
                     const std::uint64_t longest = m_kind == revocation_history::calm ? 100 : 400;
                     schedule(core::milliseconds{m_random.below(longest)},
                              [this, i, asked_at, run, told]
                              {
                                  if (told)
                                      on_copy(i, asked_at, run, told.value());
                              });
                 });
    }

    void on_copy(std::size_t i, core::time_point asked_at, unsigned run, const state_feed& feed)
    {
        model_node& node = m_nodes[i];
        if (node.run != run || is_idle(i) || node.is_cut)
            return;
        node.items.on_changes(feed.prefixes.at(prefix), m_now);
        node.confirmation.on_copied(asked_at, feed.confirmed_age);
    }

    revocation_history m_kind;
    core::seeded_random m_random;
    std::vector<model_node> m_nodes;
    std::priority_queue<event> m_due;
    std::uint64_t m_order = 0;
    core::time_point m_now = begin;
    std::uint64_t m_version = 0;
    /// When each version was confirmed; the version that takes the key of version N away is N + 1.
    std::vector<core::time_point> m_confirmed;
    bool m_is_store_down = false;
};

} // namespace

TEST_GROUP(revocation){};

// Fails when a confirmation is counted from a later moment than the one of asking, at a node that
// reads the store or at one that another node vouches for.
TEST(revocation, no_key_is_accepted_later_than_the_bound_whatever_a_node_hears)
{
    check_property("no node accepts a key later than the bound",
                   []
                   {
                       const auto kind = static_cast<revocation_history>(*rc::gen::inRange<int>(
                           0, static_cast<int>(revocation_history::last_kind) + 1));
                       const auto nodes = *rc::gen::inRange<std::size_t>(1, 12);
                       model_fleet fleet(nodes, kind, *rc::gen::arbitrary<std::uint64_t>());
                       fleet.publish();
                       constexpr int steps = 800;
                       const int interval = *rc::gen::inRange<int>(20, 200);
                       for (int i = 1; i <= steps; ++i)
                       {
                           if (i % interval == 0)
                               fleet.publish();
                           fleet.advance();
                           RC_ASSERT(!fleet.accepts_late());
                       }
                   });
}

// Fails when nodes refuse keys although the store can be read, by themselves or through others.
TEST(revocation, nodes_that_hear_of_the_store_keep_serving)
{
    model_fleet fleet(9, revocation_history::calm, 1);
    fleet.publish();
    constexpr int steps = 1'200;
    constexpr int settling = 100;
    for (int i = 1; i <= steps; ++i)
    {
        if (i == steps / 2)
        {
            for (std::size_t node = 0; node < 5; ++node)
            {
                fleet.turn_away(node == 0 ? 0 : node + 2);
            }
        }
        fleet.advance();
        if (i > settling)
            UNSIGNED_LONGS_EQUAL(fleet.size(), fleet.accepting());
    }
}
