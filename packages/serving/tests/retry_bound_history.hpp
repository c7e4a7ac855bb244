/// @file
/// Histories of nodes that share the bound on retries while they start, restart and learn of each
/// other, for properties.

#ifndef SNIPEPLANK_SERVING_TESTS_RETRY_BOUND_HISTORY_HPP
#define SNIPEPLANK_SERVING_TESTS_RETRY_BOUND_HISTORY_HPP

#include <snipeplank/core/random.hpp>
#include <snipeplank/serving/placement.hpp>

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <queue>
#include <utility>
#include <vector>

#include "../src/node_count_estimate.hpp"
#include "property.hpp"

namespace snipeplank::serving::tests
{

using namespace std::chrono_literals;

/// @brief What happens to the nodes while upstreams turn requests away.
enum class fleet_history
{
    steady,
    single_restarts, ///< of a few nodes, each by itself
    mass_restart,    ///< of all nodes within 300 ms, after a second without power
    partial_lists,   ///< restarted nodes learn of half of the others very late
    short_cut,       ///< a part of the nodes restarts while it is cut off from the others
    added_nodes,     ///< a third of the nodes starts for the first time
};

/// When a node hears of another one, and of which.
using heard_node = std::pair<core::time_point, std::size_t>;

/// @brief One node: what it knows of the others and which retries it takes.
struct retrying_node
{
    std::unique_ptr<placement> places;
    node_count_estimate members{core::region_id{}};
    unsigned run = 0; ///< number of its process
    std::priority_queue<heard_node, std::vector<heard_node>, std::greater<>> to_hear;
    bool is_running = false;
};

/// @brief Plays one history and records requests and retries of all nodes.
class retry_history
{
  public:
    static constexpr core::milliseconds window{10'000};
    static constexpr double ratio = 0.2;

    retry_history(std::uint64_t seed, fleet_history kind) : m_random(seed), m_kind(kind)
    {
        const std::size_t counts[] = {6, 18, 60, 300};
        m_nodes.resize(m_random.unit() < large_share ? counts[3] : counts[pick(3)]);
        m_slack = static_cast<double>(m_nodes.size()) * (1 + 2 * m_random.unit());
        m_late = m_random.unit() < 0.5 ? core::milliseconds{500} : core::milliseconds{8'000};
        const std::size_t first = kind == fleet_history::added_nodes ? m_nodes.size() * 2 / 3 : 0;
        for (std::size_t i = 0; i < (first == 0 ? m_nodes.size() : first); ++i)
        {
            start_node(i);
        }
        schedule_faults(first);
    }

    void play()
    {
        for (m_now = m_begin; m_now < m_begin + length; m_now += step)
        {
            run_due();
            receive_requests();
            exchange_counts();
        }
    }

    /// Retries in the window that is furthest beyond its bound, minus that bound.
    double excess() const
    {
        double most = -m_slack;
        for (core::time_point from = m_begin + settled - window; from < m_begin + length;
             from += 250ms)
        {
            const double requests = std::max(
                {count(m_requests, from, from + window), count(m_requests, from - window, from),
                 count(m_requests, from - window / 2, from + window / 2)});
            most =
                std::max(most, count(m_retries, from, from + window) - ratio * requests - m_slack);
        }
        return most;
    }

    std::size_t nodes() const { return m_nodes.size(); }
    std::size_t retries() const { return m_retries.size(); }

  private:
    using times = std::vector<core::time_point>;

    static constexpr core::milliseconds step{10};
    static constexpr core::milliseconds settled{20'000};
    static constexpr core::milliseconds length{46'000};
    static constexpr core::milliseconds power_loss{1'000};
    static constexpr core::milliseconds exchange_interval{300};
    static constexpr unsigned exchange_fanout = 3;
    static constexpr double large_share = 0.05; ///< of the histories, since they take long
    static constexpr unsigned max_attempts = 6;
    static constexpr double requests_per_node_and_s = 2;

    /// Times are added in order.
    static double count(const times& all, core::time_point from, core::time_point to)
    {
        return static_cast<double>(std::lower_bound(all.begin(), all.end(), to) -
                                   std::lower_bound(all.begin(), all.end(), from));
    }

    std::size_t pick(std::size_t count)
    {
        return std::min(count - 1,
                        static_cast<std::size_t>(m_random.unit() * static_cast<double>(count)));
    }

    core::milliseconds up_to(core::milliseconds most)
    {
        return core::milliseconds{
            static_cast<long>(m_random.unit() * static_cast<double>(most.count()))};
    }

    void at(core::time_point when, std::function<void()> action)
    {
        m_due.push({when, m_due_number++, std::move(action)});
    }

    void run_due()
    {
        while (!m_due.empty() && m_due.top().at <= m_now)
        {
            const auto action = m_due.top().action;
            m_due.pop();
            action();
        }
    }

    static core::address address_of(std::size_t node)
    {
        return core::address{"10.0.1." + std::to_string(node) + ":7"};
    }

    void start_node(std::size_t index)
    {
        placement_bounds bounds;
        bounds.retries = {ratio, m_slack, window};
        retrying_node& node = m_nodes[index];
        node.places = std::make_unique<placement>(m_home, bounds, m_random);
        node.members = node_count_estimate(m_home, window);
        node.members.start(m_now);
        node.to_hear = {};
        node.is_running = true;
        ++node.run;
        for (std::size_t other = 0; other < m_nodes.size(); ++other)
        {
            if (other == index)
                continue;
            hear_of(index, other, time_to_hear(index));
            hear_of(other, index, up_to(m_late));
        }
    }

    core::milliseconds time_to_hear(std::size_t index)
    {
        const bool is_partial = m_kind == fleet_history::partial_lists && m_nodes[index].run > 1;
        if (is_partial && m_random.unit() < 0.5)
            return length;
        return up_to(m_late);
    }

    void hear_of(std::size_t index, std::size_t other, core::milliseconds delay)
    {
        m_nodes[index].to_hear.push({m_now + delay, other});
    }

    /// Takes what has reached the node by now; what a cut holds up comes at its end.
    void hear_all(std::size_t index)
    {
        retrying_node& node = m_nodes[index];
        while (!node.to_hear.empty() && node.to_hear.top().first <= m_now)
        {
            const std::size_t other = node.to_hear.top().second;
            node.to_hear.pop();
            if (is_cut(index) != is_cut(other))
                node.to_hear.push({m_cut_until, other});
            else
                node.members.on_seen(address_of(other), m_home, m_now);
        }
    }

    bool is_cut(std::size_t index) const { return m_now < m_cut_until && index < m_cut_nodes; }

    void schedule_faults(std::size_t first_added)
    {
        const core::time_point when = m_begin + settled + up_to(10s);
        switch (m_kind)
        {
        case fleet_history::steady:
            break;
        case fleet_history::single_restarts:
        case fleet_history::partial_lists:
            for (std::size_t i = 0; i < m_nodes.size(); ++i)
            {
                if (m_random.unit() < 0.3)
                    schedule_restart(i, m_begin + settled + up_to(14s));
            }
            break;
        case fleet_history::mass_restart:
            restart_first(m_nodes.size(), when);
            break;
        case fleet_history::short_cut:
            m_cut_nodes = std::max<std::size_t>(1, m_nodes.size() / 3);
            at(when, [this] { m_cut_until = m_now + 12s; });
            restart_first(m_cut_nodes, when + 1s);
            break;
        case fleet_history::added_nodes:
            for (std::size_t i = first_added; i < m_nodes.size(); ++i)
            {
                at(when + up_to(300ms), [this, i] { start_node(i); });
            }
            break;
        }
    }

    void restart_first(std::size_t count, core::time_point when)
    {
        for (std::size_t i = 0; i < count; ++i)
        {
            schedule_restart(i, when);
        }
    }

    void schedule_restart(std::size_t index, core::time_point when)
    {
        at(when, [this, index] { m_nodes[index].is_running = false; });
        at(when + power_loss + up_to(300ms), [this, index] { start_node(index); });
    }

    /// All requests are turned away once the fleet has settled.
    void receive_requests()
    {
        if (m_now < m_begin + settled - 2 * window)
            return;
        const double expected = requests_per_node_and_s * static_cast<double>(m_nodes.size()) *
                                std::chrono::duration<double>(step).count();
        auto arriving = static_cast<std::size_t>(expected + m_random.unit());
        for (; arriving > 0; --arriving)
        {
            const std::size_t index = pick(m_nodes.size());
            m_requests.push_back(m_now);
            if (!m_nodes[index].is_running)
                continue;
            m_nodes[index].places->on_request(m_service, m_now);
            if (m_now >= m_begin + settled - window)
                schedule_retry(index, 1);
        }
    }

    void schedule_retry(std::size_t index, unsigned attempts)
    {
        at(m_now + 20ms + up_to(40ms),
           [this, index, attempts, run = m_nodes[index].run]
           {
               retrying_node& node = m_nodes[index];
               if (attempts == max_attempts || !node.is_running || node.run != run ||
                   !take_retry(index))
                   return;
               m_retries.push_back(m_now);
               schedule_retry(index, attempts + 1);
           });
    }

    bool take_retry(std::size_t index)
    {
        hear_all(index);
        retrying_node& node = m_nodes[index];
        sharing_nodes sharing;
        sharing.fleet = node.members.share_of_fleet(m_now);
        node.places->set_sharing_nodes(std::move(sharing), m_now);
        return node.places->take_retry(m_service, m_now);
    }

    /// Each node tells some others now and then how many nodes it counts.
    void exchange_counts()
    {
        if (m_now < m_next_exchange)
            return;
        m_next_exchange = m_now + exchange_interval;
        for (std::size_t i = 0; i < m_nodes.size(); ++i)
        {
            for (unsigned sent = 0; sent < exchange_fanout; ++sent)
            {
                tell(i, pick(m_nodes.size()));
            }
        }
    }

    void tell(std::size_t from, std::size_t to)
    {
        if (from == to || !m_nodes[from].is_running || !m_nodes[to].is_running ||
            is_cut(from) != is_cut(to))
            return;
        hear_all(from);
        m_nodes[to].members.on_told(m_home, m_nodes[from].members.to_tell(m_now), m_now);
    }

    struct due_action
    {
        core::time_point at;
        std::uint64_t number;
        std::function<void()> action;

        bool operator<(const due_action& other) const
        {
            return std::pair(other.at, other.number) < std::pair(at, number);
        }
    };

    core::seeded_random m_random;
    fleet_history m_kind;
    core::region_id m_home{"home"};
    core::service_id m_service{"shop"};
    core::time_point m_begin = core::time_point{} + 1h;
    core::time_point m_now = m_begin;
    core::time_point m_next_exchange{};
    core::time_point m_cut_until{};
    core::milliseconds m_late{0};
    std::size_t m_cut_nodes = 0;
    double m_slack = 0;
    std::vector<retrying_node> m_nodes;
    std::priority_queue<due_action> m_due;
    std::uint64_t m_due_number = 0;
    times m_requests;
    times m_retries;
};

/// @brief Checks that the bound holds in generated histories, and that retries are taken.
inline void check_retries(const std::string& description, fleet_history kind)
{
    snipeplank::tests::check_property(description,
                                      [=](std::uint32_t seed)
                                      {
                                          retry_history played(seed, kind);
                                          played.play();
                                          RC_LOG() << played.nodes() << " nodes, excess "
                                                   << played.excess() << '\n';
                                          RC_ASSERT(played.excess() <= 0.0);
                                          RC_ASSERT(played.retries() > played.nodes());
                                      });
}

} // namespace snipeplank::serving::tests

#endif
