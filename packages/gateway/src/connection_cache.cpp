#include "connection_cache.hpp"

#include <snipeplank/gateway/address.hpp>

#include <utility>

namespace snipeplank::gateway
{

namespace
{

constexpr std::size_t max_idle_per_upstream = 16;
constexpr unsigned max_uses = 1'000;

/// A middlebox may drop the state of a longer idle flow, and upstreams commonly close after 5 s.
constexpr std::chrono::seconds max_idle_time{3};

} // namespace

std::unique_ptr<upstream_connection> connection_cache::make_client(const core::address& address)
{
    const host_and_port target = split_host_port(address);
    auto client = std::make_unique<upstream_connection>(target.host, target.port);
    client->set_tcp_nodelay(true);
    client->set_follow_location(false);
    client->set_decompress(false);
    return client;
}

cached_connection connection_cache::take(const core::address& address)
{
    const auto now = std::chrono::steady_clock::now();
    {
        const std::lock_guard lock(m_mutex);
        std::vector<cached_connection>& idle = m_idle[address];
        while (!idle.empty())
        {
            cached_connection candidate = std::move(idle.back());
            idle.pop_back();
            if (now - candidate.last_used < max_idle_time)
                return candidate;
        }
    }
    cached_connection connection{make_client(address), now, 0};
    connection.client->set_keep_alive(true);
    return connection;
}

void connection_cache::put_back(const core::address& address, cached_connection connection)
{
    if (++connection.uses >= max_uses)
        return;
    connection.last_used = std::chrono::steady_clock::now();
    const std::lock_guard lock(m_mutex);
    std::vector<cached_connection>& idle = m_idle[address];
    if (idle.size() < max_idle_per_upstream)
        idle.push_back(std::move(connection));
}

} // namespace snipeplank::gateway
