/// @file
/// Nodes that share quotas, in virtual time: messages with delays, nodes that are killed, cut off
/// or frozen, and a record of what reaches upstreams.

#ifndef SNIPEPLANK_POLICY_TESTS_QUOTA_QUOTA_FLEET_HPP
#define SNIPEPLANK_POLICY_TESTS_QUOTA_QUOTA_FLEET_HPP

#include <snipeplank/core/random.hpp>
#include <snipeplank/policy/quota_exchange.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace snipeplank::policy::tests
{

using core::milliseconds;

/// @brief Size of a fleet and of its quota.
struct quota_shape
{
    std::size_t nodes = 70;
    std::size_t regions = 3;
    quota_limit limit{quota_unit::token, 500'000, 500'000, 200};
    quota_bound bound{core::seconds{8}, 0.25, 140'000};
    milliseconds local_delay{4};   ///< one way between nodes of a region
    milliseconds remote_delay{80}; ///< one way between regions
};

/// @brief Units that arrived at an upstream.
struct quota_use
{
    core::time_point at{};
    double amount = 0;
};

/// @brief A fleet whose requests all belong to one account.
class quota_fleet
{
  public:
    static constexpr milliseconds step = quota_exchange::tick_interval;

    quota_fleet(quota_shape shape, std::uint64_t seed)
        : m_shape(std::move(shape)), m_random(seed), m_account(quota_key_of(core::account_id{"a"}))
    {
        for (std::size_t i = 0; i < m_shape.nodes; ++i)
        {
            m_nodes.emplace_back();
            start(i, true);
        }
    }

    core::time_point now() const { return m_now; }
    std::size_t size() const { return m_nodes.size(); }
    const quota_shape& shape() const { return m_shape; }
    core::random_source& random() { return m_random; }

    std::string region_of(std::size_t node) const
    {
        return "r" + std::to_string(node % m_shape.regions);
    }

    /// @brief Starts a process on a node; a former one is lost.
    /// @param knows_share whether it knows how many nodes there are
    void start(std::size_t node, bool knows_share)
    {
        each& known = m_nodes[node];
        known.network = std::make_unique<link>(*this, node);
        known.quotas = std::make_unique<quota_exchange>(m_random.next(), *known.network);
        known.quotas->set_limits({{m_account, fill_rate(m_shape.limit, m_shape.bound)}}, m_now);
        known.knows_share = knows_share;
        known.waiting.clear();
        known.inbox.clear();
        known.is_running = true;
        set_share(node);
        set_nodes(node);
    }

    void kill(std::size_t node) { m_nodes[node].is_running = false; }
    void learn_share(std::size_t node)
    {
        m_nodes[node].knows_share = true;
        set_share(node);
    }
    void freeze(std::size_t node, milliseconds span) { m_nodes[node].frozen_until = m_now + span; }

    /// @brief Nodes on different sides do not reach each other; 0 joins all.
    void set_side(std::size_t node, unsigned side) { m_nodes[node].side = side; }

    bool is_running(std::size_t node) const { return m_nodes[node].is_running; }

    /// @brief A request arrives at a node.
    void request(std::size_t node, double amount)
    {
        each& known = m_nodes[node];
        m_asked += amount;
        if (!known.is_running || known.frozen_until > m_now)
            return;
        known.waiting.push_back(
            known.quotas->charge(m_account, amount, milliseconds{1'000}, m_now));
        settle(node);
    }

    /// @brief Runs one step: messages, ticks and requests that have their units.
    void advance()
    {
        m_now += step;
        deliver();
        for (std::size_t i = 0; i < m_nodes.size(); ++i)
        {
            each& known = m_nodes[i];
            if (!known.is_running || known.frozen_until > m_now)
                continue;
            auto inbox = std::exchange(known.inbox, {});
            for (auto& [from, message] : inbox)
            {
                known.quotas->on_message(address_of(from), message, m_now);
            }
            known.quotas->on_tick(m_now);
            settle(i);
        }
        deliver();
    }

    /// @brief Most units that arrived in any window.
    double most_in_a_window() const
    {
        std::vector<quota_use> uses = m_uses;
        std::sort(uses.begin(), uses.end(),
                  [](const quota_use& a, const quota_use& b) { return a.at < b.at; });
        double most = 0;
        double sum = 0;
        std::size_t first = 0;
        for (const quota_use& last : uses)
        {
            sum += last.amount;
            while (last.at - uses[first].at > m_shape.bound.window)
            {
                sum -= uses[first++].amount;
            }
            most = std::max(most, sum);
        }
        return most;
    }

    /// @brief Units that arrived since a moment.
    double used_since(core::time_point since) const
    {
        double sum = 0;
        for (const quota_use& use : m_uses)
        {
            sum += use.at >= since ? use.amount : 0;
        }
        return sum;
    }

    /// @brief Requests of at least, or below, an amount that were granted or refused.
    struct outcome
    {
        std::size_t granted = 0;
        std::size_t refused = 0;

        double share() const
        {
            const std::size_t all = granted + refused;
            return all == 0 ? 1 : static_cast<double>(granted) / static_cast<double>(all);
        }
    };
    std::map<double, outcome> by_amount; ///< what became of the requests of each amount

    /// @brief Bytes of messages that were sent, without transport overhead.
    double bytes_sent() const { return m_bytes; }

    /// @brief How long after its charge a request may arrive at its upstream.
    milliseconds longest_transit{300};

  private:
    class link final : public quota_network
    {
      public:
        link(quota_fleet& fleet, std::size_t node) : m_fleet(fleet), m_node(node) {}
        void send(const core::address& to, quota_message what) override
        {
            m_fleet.post(m_node, to, std::move(what));
        }

      private:
        quota_fleet& m_fleet;
        std::size_t m_node;
    };

    struct each
    {
        std::unique_ptr<link> network;
        std::unique_ptr<quota_exchange> quotas;
        std::vector<std::shared_ptr<quota_charge>> waiting;
        std::vector<std::pair<std::size_t, quota_message>> inbox;
        core::time_point frozen_until{};
        unsigned side = 0;
        bool is_running = true;
        bool knows_share = true;
    };

    struct flight
    {
        core::time_point at{};
        std::size_t from = 0;
        std::size_t to = 0;
        quota_message what;
    };

    static core::address address_of(std::size_t node)
    {
        return core::address{"10.0.0." + std::to_string(node) + ":1"};
    }

    void set_share(std::size_t node)
    {
        each& known = m_nodes[node];
        known.quotas->set_share(known.knows_share ? node_share{m_shape.nodes} : node_share{},
                                m_now);
    }

    void set_nodes(std::size_t node)
    {
        std::vector<quota_node> others;
        for (std::size_t i = 0; i < m_shape.nodes; ++i)
        {
            if (i != node)
                others.push_back({address_of(i), core::region_id{region_of(i)}});
        }
        m_nodes[node].quotas->set_nodes(address_of(node), core::region_id{region_of(node)},
                                        std::move(others));
    }

    void post(std::size_t from, const core::address& to, quota_message what)
    {
        constexpr double frame_bytes = 60;
        constexpr double item_bytes = 24;
        m_bytes +=
            frame_bytes + item_bytes * static_cast<double>(what.asks.size() + what.grants.size());
        const std::string& text = to.get();
        const std::size_t begin = text.rfind('.') + 1;
        const std::size_t node = std::stoul(text.substr(begin, text.find(':') - begin));
        const bool is_local = region_of(from) == region_of(node);
        const double delay =
            static_cast<double>((is_local ? m_shape.local_delay : m_shape.remote_delay).count());
        const double late = delay * (1 + m_random.unit());
        m_flights.push_back(
            {m_now + milliseconds{static_cast<long>(late)}, from, node, std::move(what)});
    }

    /// Delivers what is due; frozen nodes read it when they wake.
    void deliver()
    {
        std::vector<flight> waiting;
        for (flight& next : std::exchange(m_flights, {}))
        {
            each& to = m_nodes[next.to];
            if (next.at > m_now)
                waiting.push_back(std::move(next));
            else if (to.is_running && to.side == m_nodes[next.from].side)
                to.inbox.emplace_back(next.from, std::move(next.what));
        }
        for (flight& next : m_flights)
        {
            waiting.push_back(std::move(next));
        }
        m_flights = std::move(waiting);
    }

    void settle(std::size_t node)
    {
        each& known = m_nodes[node];
        std::erase_if(known.waiting,
                      [&](const std::shared_ptr<quota_charge>& charged)
                      {
                          if (charged->status() == quota_charge::state::waiting)
                              return false;
                          record(*charged);
                          return true;
                      });
    }

    void record(const quota_charge& charged)
    {
        outcome& known = by_amount[charged.amount()];
        if (charged.status() == quota_charge::state::refused)
        {
            ++known.refused;
            return;
        }
        ++known.granted;
        const double transit = static_cast<double>(longest_transit.count()) * m_random.unit();
        m_uses.push_back({m_now + milliseconds{static_cast<long>(transit)}, charged.amount()});
    }

    quota_shape m_shape;
    core::seeded_random m_random;
    quota_key m_account;
    core::time_point m_now{std::chrono::hours{1}};
    std::vector<each> m_nodes;
    std::vector<flight> m_flights;
    std::vector<quota_use> m_uses;
    double m_asked = 0;
    double m_bytes = 0;
};

} // namespace snipeplank::policy::tests

#endif
