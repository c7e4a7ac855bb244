/// @file
/// Quotas of client accounts over all nodes without shared counters. Pure: no network, no clock.
///
/// Handles these load patterns: an account whose callers meet at a few nodes of many, an account
/// whose demand moves between regions, and one that sends many times what it may. Each node fills
/// an equal part of every quota, and units move to where they are asked for. In each region one
/// node collects the unused units of an account while there is demand for them, and asks the
/// collectors of other regions for their surplus.

#ifndef SNIPEPLANK_POLICY_QUOTA_EXCHANGE_HPP
#define SNIPEPLANK_POLICY_QUOTA_EXCHANGE_HPP

#include <snipeplank/core/ids.hpp>
#include <snipeplank/core/strong_type.hpp>
#include <snipeplank/core/units.hpp>
#include <snipeplank/policy/node_share.hpp>
#include <snipeplank/policy/quota_units.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace snipeplank::policy
{

/// Identifies the quota of an account in messages.
using quota_key = core::strong_type<std::uint64_t, struct quota_key_tag>;

/// @brief The key of an account's quota. O(length).
quota_key quota_key_of(const core::account_id& account);

/// @brief Who asks for units.
enum class quota_ask_kind : std::uint8_t
{
    need = 0,    ///< a node asks its region's collector, for requests
    collect = 1, ///< the collector asks a node of its region for what it does not use
    lend = 2,    ///< the collector asks that of another region for its surplus
};

constexpr quota_ask_kind last_quota_ask_kind = quota_ask_kind::lend;

/// @brief Asks for units of one quota.
struct quota_ask
{
    quota_key account;
    quota_ask_kind kind = quota_ask_kind::need;
    std::uint32_t asked_at_ms = 0; ///< on the clock of the node that asks; repeated in the grant
    float needed = 0;              ///< units
    /// How long the ask stands; when units are collected, how long the region is short of them.
    std::uint16_t wait_ms = 0;

    friend bool operator==(const quota_ask&, const quota_ask&) = default;
};

/// @brief Units of one quota, or none: the node has heard the ask, but has no units now.
struct quota_grant
{
    quota_key account;
    std::uint32_t asked_at_ms = 0; ///< of the ask
    std::uint32_t age_ms = 0;      ///< of the units
    double units = 0;
    bool has_prospect = true; ///< false: nothing will come while the ask stands

    friend bool operator==(const quota_grant&, const quota_grant&) = default;
};

/// @brief One message about quotas between two nodes.
struct quota_message
{
    std::uint64_t asker = 0; ///< process that asked; grants repeat it
    std::vector<quota_ask> asks;
    std::vector<quota_grant> grants;

    friend bool operator==(const quota_message&, const quota_message&) = default;
};

/// @brief Sends messages about quotas.
class quota_network
{
  public:
    virtual ~quota_network() = default;
    virtual void send(const core::address& to, quota_message what) = 0;
};

/// @brief Another node that serves.
struct quota_node
{
    core::address node;
    core::region_id region;
};

/// @brief A request that is charged to a quota.
class quota_charge
{
  public:
    enum class state
    {
        waiting,
        granted,
        refused,
    };

    quota_charge(quota_key account, double amount) : m_account(account), m_amount(amount) {}

    double amount() const { return m_amount; }

    state status() const { return m_state; }

    /// @brief Whether the request may still be sent on this charge.
    bool is_fresh(core::time_point now) const
    {
        return m_state == state::granted && now - m_granted_at <= max_charge_age;
    }

    /// @brief Until when to wait, at the latest.
    core::time_point waits_until() const { return m_waits_until; }

    /// @brief When there may be room; valid for a refused charge.
    core::milliseconds retry_after() const { return m_retry_after; }

    /// @brief Sets what is called once, when the charge is granted or refused.
    void on_settled(std::function<void()> action) { m_on_settled = std::move(action); }

  private:
    friend class quota_exchange;

    void settle(state how);

    quota_key m_account;
    double m_amount;
    state m_state = state::waiting;
    std::vector<aged_units> m_units;
    std::uint32_t m_asked_at_ms = 0;
    core::time_point m_granted_at{};
    core::time_point m_waits_until{};
    core::milliseconds m_retry_after{0};
    std::function<void()> m_on_settled;
};

/// @brief Counters for metrics.
struct quota_counters
{
    std::uint64_t granted = 0;   ///< requests
    std::uint64_t waited = 0;    ///< of those, after a wait
    std::uint64_t refused = 0;   ///< requests
    std::uint64_t messages = 0;  ///< sent
    std::uint64_t asked = 0;     ///< asks sent
    double units_received = 0;   ///< from other nodes
    double units_given_away = 0; ///< to other nodes
};

/// @brief The quotas of all accounts on one node. Not thread-safe.
///
/// All times are those of a clock that also runs while the host is suspended.
class quota_exchange
{
  public:
    /// Interval of `on_tick`.
    static constexpr core::milliseconds tick_interval{50};

    /// @param instance random number of this process
    /// @param network outlives the object
    quota_exchange(std::uint64_t instance, quota_network& network);

    /// @brief Sets the limits in force: units a second that all nodes together fill. O(accounts).
    void set_limits(const std::map<quota_key, double>& fill_rates, core::time_point now);

    /// @brief Sets the nodes that serve, without this one.
    void set_nodes(core::address self, core::region_id region, std::vector<quota_node> others);

    /// @brief Sets this node's part of every quota. O(accounts in use).
    void set_share(node_share share, core::time_point now);

    /// @brief Charges a request to an account with a limit. Granted at once if there are units, and
    /// refused at once if there is no prospect of them.
    /// @param max_wait longest time for which the request may wait
    std::shared_ptr<quota_charge> charge(quota_key account, double amount,
                                         core::milliseconds max_wait, core::time_point now);

    /// @brief Ends the wait of a charge that is not settled by its time: it is refused.
    void give_up(const std::shared_ptr<quota_charge>& charged, core::time_point now);

    /// @brief Takes back the units of a request that has not run and never will.
    void give_back(const std::shared_ptr<quota_charge>& charged, core::time_point now);

    void on_message(const core::address& from, const quota_message& received, core::time_point now);

    /// @brief Asks for what is needed, and collects. Call every `tick_interval`.
    void on_tick(core::time_point now);

    bool has_limits() const { return !m_limits.empty(); }
    const quota_counters& counters() const { return m_counters; }

    /// @brief Units of an account on this node, for metrics and tests.
    double available(quota_key account, core::time_point now);

  private:
    /// Units a second, from amounts that come one by one.
    class rate_estimate
    {
      public:
        void add(double amount, core::time_point now);
        double per_second(core::time_point now) const;

      private:
        double m_rate = 0;
        core::time_point m_at{};
    };

    struct limit
    {
        double fill_rate = 0; ///< of all nodes
        core::time_point since{};
    };

    /// What another node asked for and has not received yet.
    struct pending_ask
    {
        core::address to;
        std::uint64_t asker = 0;
        quota_ask ask;
        core::time_point expires{};
    };

    struct account_state
    {
        quota_units units;
        quota_fill fill;
        std::deque<std::shared_ptr<quota_charge>> waiting;
        rate_estimate demand;        ///< units, of requests at this node
        rate_estimate requests;      ///< at this node
        rate_estimate region_demand; ///< of asks at this collector
        rate_estimate inflow;        ///< filled here or received
        core::time_point used_at{};
        /// Units are lacking in the region: every request then waits its turn at the collector, so
        /// that small ones do not use up what large ones need.
        core::time_point short_until{};
        core::time_point collected_at{};
        core::time_point asked_remote_at{};
        core::time_point active_until{};     ///< as collector
        std::deque<pending_ask> local_asks;  ///< of nodes of the region
        std::deque<pending_ask> remote_asks; ///< of collectors of other regions
    };

    account_state& state_of(quota_key account, core::time_point now);
    double rate_of_share(quota_key account) const;
    void refill(account_state& known, core::time_point now);
    std::uint32_t stamp(core::time_point now) const;
    std::uint32_t unique_stamp(core::time_point now);
    core::address collector_of(quota_key account, const core::region_id& region,
                               core::time_point now) const;

    void grant(quota_charge& charged, account_state& known, core::time_point now);
    void refuse(quota_charge& charged, account_state& known, core::time_point now);
    void grant_waiting(account_state& known, core::time_point now);
    void grant_asked(std::uint32_t asked_at_ms, account_state& known, core::time_point now);
    static std::deque<std::shared_ptr<quota_charge>>::iterator
    find_asked(account_state& known, std::uint32_t asked_at_ms);
    void refuse_overdue(account_state& known, core::time_point now);
    double units_in_a_wait(quota_key account, const account_state& known,
                           core::time_point now) const;
    void ask_for(quota_key account, quota_charge& charged, core::time_point now);
    void ask_again(quota_key account, account_state& known, core::time_point now);
    void note_silent_collectors(core::time_point now);

    void on_ask(const core::address& from, std::uint64_t asker, const quota_ask& ask,
                core::time_point now);
    void on_need(const pending_ask& asked, account_state& known, core::time_point now);
    void on_collect(const pending_ask& asked, account_state& known, core::time_point now);
    double own_reserve(const account_state& known, core::time_point now) const;
    void on_remote_ask(pending_ask asked, account_state& known, core::time_point now);
    void on_grant(const quota_grant& granted, core::time_point now);
    void serve_local_asks(account_state& known, core::time_point now);
    void serve_remote_asks(account_state& known, core::time_point now);
    void give(const pending_ask& to, account_state& known, double amount, core::time_point now);
    void collect(quota_key account, account_state& known, core::time_point now);
    void ask_other_regions(quota_key account, account_state& known, core::time_point now);
    bool lacks_units(account_state& known, core::time_point now);
    void prune(core::time_point now);
    void flush();

    std::uint64_t m_instance;
    quota_network& m_network;
    core::address m_self;
    core::region_id m_region;
    std::vector<quota_node> m_others;
    std::map<core::region_id, std::vector<core::address>> m_regions; ///< with this node
    node_share m_share;
    core::time_point m_share_since{};
    std::map<quota_key, limit> m_limits;
    std::map<quota_key, account_state> m_accounts; ///< those in use
    std::map<core::address, quota_message> m_asks; ///< to be sent
    std::map<std::pair<core::address, std::uint64_t>, quota_message> m_grants;
    /// When a collector was asked that has not answered yet.
    std::map<core::address, core::time_point> m_unanswered;
    std::map<core::address, core::time_point> m_silent_until; ///< collectors that did not answer
    core::time_point m_pruned_at{};
    std::uint32_t m_stamped_at = 0; ///< last millisecond for which stamps were given out
    std::uint32_t m_stamps = 0;     ///< in that millisecond
    quota_counters m_counters;
};

} // namespace snipeplank::policy

#endif
