#include <snipeplank/gateway/platform_client.hpp>

#include <spdlog/fmt/fmt.h>

#include <atomic>
#include <chrono>
#include <mutex>
#include <utility>

#include "connection_cache.hpp"

namespace snipeplank::gateway
{

namespace
{

using core::error_code;

constexpr core::milliseconds connect_timeout{500};
constexpr core::milliseconds answer_timeout{2'000};
constexpr int http_ok = 200;
/// Several times the largest document of the two-year size.
constexpr std::uint64_t max_answer_bytes = 16'777'216;

class http_platform_client final : public platform_client
{
  public:
    http_platform_client(std::vector<core::address> config_service, core::address host_list)
        : m_config_service(std::move(config_service)), m_host_list(std::move(host_list))
    {
    }

    core::result<watched_value> read_key(const std::string& key, std::uint64_t index,
                                         core::milliseconds wait) override
    {
        const std::string path = wait.count() > 0 ? fmt::format("/v1/kv/{}?raw&index={}&wait={}ms",
                                                                key, index, wait.count())
                                                  : fmt::format("/v1/kv/{}?raw", key);
        core::error last{error_code::connection_failed, "no configuration service is configured",
                         "name its addresses in the settings"};
        for (std::size_t tried = 0; tried < m_config_service.size(); ++tried)
        {
            const core::address& replica =
                m_config_service[(m_replica + tried) % m_config_service.size()];
            auto read = get(replica, path, wait + answer_timeout);
            if (read)
            {
                m_replica = (m_replica + tried) % m_config_service.size();
                return watched_value{read.value().body, read.value().index};
            }
            last = read.error();
        }
        return boost::outcome_v2::failure(last);
    }

    core::result<host_listing> read_hosts(std::uint64_t index, core::milliseconds wait) override
    {
        const auto read =
            get(m_host_list, fmt::format("/v1/hosts?index={}&wait={}ms", index, wait.count()),
                wait + answer_timeout);
        if (!read)
            return boost::outcome_v2::failure(read.error());
        return parse_host_listing(read.value().body);
    }

    core::result<upstream_report> read_load(const core::address& upstream) override
    {
        const auto read = get(upstream, "/metrics", answer_timeout);
        if (!read)
            return boost::outcome_v2::failure(read.error());
        return parse_load_report(read.value().body);
    }

    void interrupt() override
    {
        const std::lock_guard lock(m_mutex);
        m_is_interrupted = true;
        if (m_active != nullptr)
            m_active->stop();
    }

  private:
    struct page
    {
        std::string body;
        std::uint64_t index = 0;
    };

    core::result<page> get(const core::address& from, const std::string& path,
                           core::milliseconds limit)
    {
        const auto client = connection_cache::make_client(from);
        client->set_connection_timeout(connect_timeout);
        client->set_read_timeout(limit);
        client->set_max_body(max_answer_bytes);
        if (!begin(client.get()))
            return core::fail(error_code::connection_closed, "the node is stopping", "none needed");
        const httplib::Result result = client->Get(path);
        end();
        if (!result)
            return core::fail(error_code::connection_failed,
                              from.get() + " does not answer (" +
                                  httplib::to_string(result.error()) + ")",
                              "check that it runs and is reachable");
        if (client->framing()->is_cut())
            return core::fail(error_code::connection_failed,
                              from.get() + " ended its answer before it was whole",
                              "check that it runs and is reachable");
        if (result->status != http_ok)
            return core::fail(error_code::connection_failed,
                              fmt::format("{} answered status {}", from.get(), result->status),
                              "check the platform");
        page read;
        read.body = result->body;
        const std::string index = result->get_header_value("X-Consul-Index");
        read.index = std::strtoull(index.c_str(), nullptr, 10);
        return read;
    }

    bool begin(upstream_connection* client)
    {
        const std::lock_guard lock(m_mutex);
        if (m_is_interrupted)
            return false;
        m_active = client;
        return true;
    }

    void end()
    {
        const std::lock_guard lock(m_mutex);
        m_active = nullptr;
    }

    std::vector<core::address> m_config_service;
    core::address m_host_list;
    std::size_t m_replica = 0;
    std::mutex m_mutex;
    upstream_connection* m_active = nullptr;
    bool m_is_interrupted = false;
};

} // namespace

std::unique_ptr<platform_client> make_platform_client(std::vector<core::address> config_service,
                                                      core::address host_list)
{
    return std::make_unique<http_platform_client>(std::move(config_service), std::move(host_list));
}

} // namespace snipeplank::gateway
