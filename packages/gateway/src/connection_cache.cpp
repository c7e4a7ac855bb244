#include "connection_cache.hpp"

#include <snipeplank/gateway/address.hpp>

#include <utility>

namespace snipeplank::gateway
{

namespace
{

constexpr std::size_t max_idle_per_upstream = 16;
constexpr unsigned max_uses = 1'000;

/// A middlebox may forget a flow that is idle for longer; upstreams commonly close after 5 s.
constexpr std::chrono::seconds max_idle_time{3};

} // namespace

std::unique_ptr<httplib::Client> connection_cache::fresh(const core::address& address)
{
    const host_and_port target = split(address);
    auto client = std::make_unique<httplib::Client>(target.host, target.port);
    client->set_tcp_nodelay(true);
    client->set_follow_location(false);
    client->set_decompress(false);
    return client;
}

kept_connection connection_cache::take(const core::address& address)
{
    const auto now = std::chrono::steady_clock::now();
    {
        const std::lock_guard lock(m_mutex);
        std::vector<kept_connection>& idle = m_idle[address];
        while (!idle.empty())
        {
            kept_connection candidate = std::move(idle.back());
            idle.pop_back();
            if (now - candidate.last_used < max_idle_time)
                return candidate;
        }
    }
    kept_connection connection{fresh(address), now, 0};
    connection.client->set_keep_alive(true);
    return connection;
}

void connection_cache::give_back(const core::address& address, kept_connection connection)
{
    if (++connection.uses >= max_uses)
        return;
    connection.last_used = std::chrono::steady_clock::now();
    const std::lock_guard lock(m_mutex);
    std::vector<kept_connection>& idle = m_idle[address];
    if (idle.size() < max_idle_per_upstream)
        idle.push_back(std::move(connection));
}

} // namespace snipeplank::gateway
