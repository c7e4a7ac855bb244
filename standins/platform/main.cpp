/// Stand-in for the platform: configuration service, host list, client directory, weight store.

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>
#include <standins/platform/config_directory.hpp>
#include <standins/platform/host_list.hpp>
#include <standins/support/http_server.hpp>

#include <algorithm>
#include <chrono>
#include <map>
#include <mutex>
#include <optional>
#include <string>

DEFINE_string(address, "127.0.0.1:0", "IP:PORT to listen on; port 0 takes a free one");
DEFINE_string(config_dir, ".", "directory with manifest.yaml and sections/");
DEFINE_uint64(weight_bytes, 1'000'000, "size of the weights of each model");
DEFINE_uint64(weight_rate, 10'000'000,
              "bytes per second of the weight store, all readers together");

namespace snipeplank::standins
{
namespace
{

using namespace std::chrono_literals;
using steady = std::chrono::steady_clock;

constexpr int not_found = 404;
constexpr int bad_request = 400;
constexpr int no_content = 204;

/// Paces writes, so that all readers together stay within the rate.
class pacer
{
  public:
    explicit pacer(std::uint64_t bytes_per_second)
        : m_rate(std::max<std::uint64_t>(1, bytes_per_second))
    {
    }

    std::chrono::microseconds delay_for(std::size_t bytes)
    {
        constexpr std::uint64_t us_per_second = 1'000'000;
        const std::lock_guard lock(m_mutex);
        const auto now = steady::now();
        m_next = std::max(m_next, now) + std::chrono::microseconds(bytes * us_per_second / m_rate);
        return std::chrono::duration_cast<std::chrono::microseconds>(m_next - now);
    }

  private:
    const std::uint64_t m_rate;
    std::mutex m_mutex;
    steady::time_point m_next;
};

/// Active faults of the configuration service, the host list and the weight store.
struct platform_fault
{
    bool config_down = false;
    std::optional<std::uint64_t> stale_version;
    std::chrono::milliseconds config_delay{0};
    bool hosts_down = false;
    bool weights_down = false;
};

class platform
{
  public:
    platform() : m_config(FLAGS_config_dir), m_pacer(FLAGS_weight_rate)
    {
        m_server.Get("/v1/kv/snipeplank/manifest",
                     [this](const request& in, response& out) { read_manifest(in, out); });
        m_server.Get("/v1/kv/snipeplank/sections/([0-9a-f]+)",
                     [this](const request& in, response& out) { read_section(in, out); });
        m_server.Get("/v1/hosts", [this](const request&, response& out)
                     { read_hosts(out, "hosts", m_hosts.visible()); });
        m_server.Get("/v1/directory", [this](const request&, response& out)
                     { read_hosts(out, "directory", m_hosts.directory()); });
        m_server.Get("/v1/weights/([^/]+)",
                     [this](const request&, response& out) { read_weights(out); });
        m_server.Put("/standin/hosts",
                     [this](const request& in, response& out) { set_hosts(in, out); });
        m_server.Post("/standin/faults",
                      [this](const request& in, response& out) { set_faults(in, out); });
        m_server.Get("/standin/counts",
                     [this](const request&, response& out)
                     {
                         const std::lock_guard lock(m_mutex);
                         out.set_content(nlohmann::json(m_counts).dump(), "application/json");
                     });
    }

    int run() { return m_server.run(FLAGS_address); }

  private:
    using request = httplib::Request;
    using response = httplib::Response;

    void count(const std::string& what, std::uint64_t amount = 1)
    {
        const std::lock_guard lock(m_mutex);
        m_counts[what] += amount;
    }

    platform_fault fault() const
    {
        const std::lock_guard lock(m_mutex);
        return m_fault;
    }

    static std::chrono::milliseconds parse_wait(const request& in)
    {
        constexpr std::chrono::milliseconds max_wait = 10min;
        const std::string text = in.get_param_value("wait");
        const long number = std::atol(text.c_str());
        const bool is_seconds = text.ends_with("s") && !text.ends_with("ms");
        return std::min<std::chrono::milliseconds>(max_wait,
                                                   is_seconds ? std::chrono::seconds(number)
                                                              : std::chrono::milliseconds(number));
    }

    void answer_kv(response& out, const std::optional<kv_value>& value) const
    {
        if (!value)
        {
            out.status = not_found;
            return;
        }
        out.set_header("X-Consul-Index", std::to_string(value->index));
        out.set_content(value->text, "application/octet-stream");
    }

    /// Applies the faults of the configuration service and refuses requests without `raw`, whose
    /// base64 form no reader of this project uses. Returns whether the handler may answer.
    bool begin_kv(const request& in, response& out)
    {
        const platform_fault now = fault();
        if (now.config_down)
        {
            count("config_refused");
            connection::current().cut();
            return false;
        }
        if (!in.has_param("raw"))
        {
            out.status = bad_request;
            return false;
        }
        return now.config_delay == 0ms || m_server.wait_for(now.config_delay);
    }

    /// Blocking query: answers once the index exceeds `index`, or after `wait`.
    void read_manifest(const request& in, response& out)
    {
        constexpr auto poll_interval = 20ms;
        count("manifest_reads");
        if (!begin_kv(in, out))
        {
            return;
        }
        const std::string index_text = in.get_param_value("index");
        const std::uint64_t known = index_text.empty() ? 0 : std::stoull(index_text);
        const auto end = steady::now() + (known == 0 ? 0ms : parse_wait(in));
        count("manifest_blocking_reads", known == 0 ? 0 : 1);
        std::optional<kv_value> value = m_config.manifest(fault().stale_version);
        while ((!value || value->index <= known) && steady::now() < end)
        {
            if (!m_server.wait_for(poll_interval) || fault().config_down)
            {
                connection::current().cut();
                return;
            }
            value = m_config.manifest(fault().stale_version);
        }
        answer_kv(out, value);
    }

    void read_section(const request& in, response& out)
    {
        count("section_reads");
        if (begin_kv(in, out))
        {
            answer_kv(out, m_config.section(in.matches[1].str()));
        }
    }

    void read_hosts(response& out, const std::string& kind, const nlohmann::json& document)
    {
        count(kind + "_reads");
        if (fault().hosts_down)
        {
            connection::current().cut();
            return;
        }
        out.set_content(document.dump(), "application/json");
    }

    void read_weights(response& out)
    {
        static constexpr std::size_t chunk_size = 16'384;
        count("weight_reads");
        if (fault().weights_down)
        {
            connection::current().cut();
            return;
        }
        out.set_content_provider(FLAGS_weight_bytes, "application/octet-stream",
                                 [this](std::size_t, std::size_t left, httplib::DataSink& sink)
                                 {
                                     const std::string chunk(std::min(left, chunk_size), 'w');
                                     if (!m_server.wait_for(m_pacer.delay_for(chunk.size())))
                                     {
                                         return false;
                                     }
                                     count("weight_bytes", chunk.size());
                                     return sink.write(chunk.data(), chunk.size());
                                 });
    }

    void set_hosts(const request& in, response& out)
    {
        const auto document = nlohmann::json::parse(in.body, nullptr, false);
        if (!document.is_object() || !document.contains("hosts"))
        {
            out.status = bad_request;
            return;
        }
        m_hosts.set(document["hosts"]);
        out.status = no_content;
    }

    void set_faults(const request& in, response& out)
    {
        const auto document = nlohmann::json::parse(in.body, nullptr, false);
        if (!document.is_object())
        {
            out.status = bad_request;
            return;
        }
        const auto empty = nlohmann::json::object();
        const auto config = document.value("config", empty);
        const auto hosts = document.value("hosts", empty);
        m_hosts.set_fault({hosts.value("frozen", false), hosts.value("reversed", false),
                           std::chrono::milliseconds(hosts.value("lag_ms", 0))});
        const std::lock_guard lock(m_mutex);
        m_fault = {config.value("down", false), std::nullopt,
                   std::chrono::milliseconds(config.value("delay_ms", 0)),
                   hosts.value("down", false),
                   document.value("weights", empty).value("down", false)};
        if (config.contains("stale_version"))
        {
            m_fault.stale_version = config["stale_version"].get<std::uint64_t>();
        }
        out.status = no_content;
    }

    http_server m_server;
    config_directory m_config;
    host_list m_hosts;
    pacer m_pacer;
    mutable std::mutex m_mutex;
    platform_fault m_fault;
    std::map<std::string, std::uint64_t> m_counts;
};

} // namespace
} // namespace snipeplank::standins

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return snipeplank::standins::platform().run();
}
