#include <snipeplank/gateway/platform_client.hpp>
#include <snipeplank/http/message.hpp>
#include <snipeplank/http/request_target.hpp>

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
/// Version of the value, for the next call that waits for a change.
constexpr char index_header[] = "X-Consul-Index";
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
        http::request_target target("/v1/kv/" + key);
        target.add("raw", "");
        if (wait.count() > 0)
            add_wait(target, index, wait);
        core::error last{error_code::connection_failed, "no configuration service is configured",
                         "name its addresses in the settings"};
        for (std::size_t tried = 0; tried < m_config_service.size(); ++tried)
        {
            const core::address& replica =
                m_config_service[(m_replica + tried) % m_config_service.size()];
            auto read = get(replica, target, wait + answer_timeout);
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
        http::request_target target("/v1/hosts");
        add_wait(target, index, wait);
        const auto read = get(m_host_list, target, wait + answer_timeout);
        if (!read)
            return boost::outcome_v2::failure(read.error());
        return parse_host_listing(read.value().body);
    }

    core::result<upstream_report> read_load(const core::address& upstream) override
    {
        const auto read = get(upstream, http::request_target("/metrics"), answer_timeout);
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

    static void add_wait(http::request_target& target, std::uint64_t index, core::milliseconds wait)
    {
        target.add("index", index).add("wait", std::to_string(wait.count()) + "ms");
    }

    core::result<page> get(const core::address& from, const http::request_target& target,
                           core::milliseconds limit)
    {
        const auto client = connection_cache::make_client(from);
        client->set_connection_timeout(connect_timeout);
        client->set_read_timeout(limit);
        client->set_max_body(max_answer_bytes);
        if (!begin(client.get()))
            return core::fail(error_code::connection_closed, "the node is stopping", "none needed");
        const httplib::Result result = client->Get(target.text());
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
        const std::string index = result->get_header_value(index_header);
        if (!index.empty() && !http::parse_number(index))
            return core::fail(error_code::connection_failed,
                              from.get() + " answered with a malformed " + index_header,
                              "check the platform");
        read.index = http::parse_number(index).value_or(0);
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
