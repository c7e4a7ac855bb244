#include <snipeplank/core/rendezvous.hpp>
#include <snipeplank/policy/account_limit.hpp>

#include <algorithm>
#include <cmath>
#include <string_view>

namespace snipeplank::policy
{

namespace
{

/// Number of buckets at which full ones are removed: twice the accounts of the target size.
constexpr std::size_t max_buckets = 22'000;

void shuffle(std::span<core::address> nodes, core::random_source& random)
{
    for (std::size_t i = 0; i + 1 < nodes.size(); ++i)
    {
        std::swap(nodes[i], nodes[i + random.below(nodes.size() - i)]);
    }
}

} // namespace

std::size_t steered_count(const settings::account_config& account, std::size_t live_nodes)
{
    const double wanted = std::ceil(account.calls_per_second / account_calls_per_node);
    const double max_nodes = static_cast<double>(std::max<std::size_t>(live_nodes, 1));
    return static_cast<std::size_t>(std::clamp(wanted, 1.0, max_nodes));
}

std::vector<core::address> account_order(const core::account_id& account,
                                         std::span<const core::address> live_nodes)
{
    const auto name_of = [](const core::address& node) -> std::string_view { return node.get(); };
    std::vector<core::address> ordered;
    for (const std::size_t index : core::rendezvous_order(account.get(), live_nodes, name_of))
    {
        ordered.push_back(live_nodes[index]);
    }
    return ordered;
}

void account_limit::set_nodes(const core::address& self, std::vector<core::address> live_nodes)
{
    std::sort(live_nodes.begin(), live_nodes.end());
    if (self == m_self && live_nodes == m_nodes)
        return;
    m_self = self;
    m_nodes = std::move(live_nodes);
    ++m_generation;
}

core::milliseconds account_limit::admit(const settings::account_config& account,
                                        core::time_point now)
{
    if (m_buckets.size() >= max_buckets)
        prune(now);
    bucket& tokens = m_buckets[account.id];
    size_bucket(tokens, account);
    if (tokens.tokens.take(1, now))
        return core::milliseconds{0};
    return std::max(tokens.tokens.time_until(1, now), core::milliseconds{1});
}

double account_limit::share(const settings::account_config& account) const
{
    return account.calls_per_second * rate_fraction(account);
}

std::vector<core::address> account_limit::entry_points(const settings::account_config* account,
                                                       core::random_source& random) const
{
    if (account == nullptr)
    {
        std::vector<core::address> nodes = m_nodes;
        shuffle(nodes, random);
        return nodes;
    }
    std::vector<core::address> nodes = account_order(account->id, m_nodes);
    const std::size_t steered = std::min(steered_count(*account, nodes.size()), nodes.size());
    shuffle(std::span(nodes).first(steered), random);
    return nodes;
}

double account_limit::rate_fraction(const settings::account_config& account) const
{
    if (m_nodes.empty())
        return 1;
    const std::vector<core::address> order = account_order(account.id, m_nodes);
    const std::size_t steered = steered_count(account, order.size());
    const auto self = std::find(order.begin(), order.end(), m_self);
    if (self != order.end() && static_cast<std::size_t>(self - order.begin()) < steered)
        return 1.0 / static_cast<double>(steered);
    const std::size_t others = std::max<std::size_t>(order.size() - steered, 1);
    return unsteered_fraction / static_cast<double>(others);
}

void account_limit::size_bucket(bucket& tokens, const settings::account_config& account) const
{
    const bool is_same = tokens.rate == account.calls_per_second && tokens.burst == account.burst;
    if (tokens.generation == m_generation && is_same)
        return;
    const double part = rate_fraction(account);
    const double rate = account.calls_per_second * part;
    // With a capacity below one token a bucket would never admit a call.
    const double burst = std::max(1.0, account.burst * part);
    if (tokens.generation == 0)
        tokens.tokens = token_bucket(rate, burst);
    tokens.tokens.resize(rate, burst);
    tokens.rate = account.calls_per_second;
    tokens.burst = account.burst;
    tokens.generation = m_generation;
}

void account_limit::prune(core::time_point now)
{
    std::erase_if(m_buckets, [&](const auto& entry) { return entry.second.tokens.is_full(now); });
}

} // namespace snipeplank::policy
