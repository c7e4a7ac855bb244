#include <snipeplank/core/json_text.hpp>
#include <snipeplank/ctl/load_run.hpp>
#include <snipeplank/gateway/address.hpp>
#include <snipeplank/gateway/upstream_connection.hpp>
#include <snipeplank/http/event_stream.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <mutex>
#include <thread>
#include <utility>

namespace snipeplank::ctl
{

namespace
{

using std::chrono::steady_clock;

constexpr time_t answer_timeout_s = 60;
constexpr int http_ok = 200;
constexpr std::size_t max_refusal_bytes = 65'536;

double ms_since(steady_clock::time_point start)
{
    return std::chrono::duration<double, std::milli>(steady_clock::now() - start).count();
}

/// Sends the requests of one simulated caller sequentially over a keep-alive connection.
class caller
{
  public:
    caller(const load_plan& plan, std::size_t number) : m_plan(plan), m_number(number) {}

    load_report run(steady_clock::time_point until)
    {
        const gateway::host_and_port target = gateway::split_host_port(m_plan.entry);
        gateway::upstream_connection client(target.host, target.port);
        client.set_keep_alive(true);
        client.set_tcp_nodelay(true);
        client.set_read_timeout(answer_timeout_s);
        for (std::size_t sent = 0; steady_clock::now() < until; ++sent)
        {
            call(client, sent);
        }
        return std::move(m_report);
    }

  private:
    std::string body(std::size_t sent) const
    {
        const std::string prompt =
            "caller " + std::to_string(m_number) + " asks " + std::to_string(sent);
        const nlohmann::json document = {{"model", m_plan.service.get()},
                                         {"stream", true},
                                         {"max_tokens", m_plan.tokens},
                                         {"messages", {{{"role", "user"}, {"content", prompt}}}}};
        return core::json_text(document);
    }

    void call(gateway::upstream_connection& client, std::size_t sent)
    {
        httplib::Request request;
        request.method = "POST";
        request.path = "/v1/chat/completions";
        request.body = body(sent);
        request.headers.emplace("Content-Type", "application/json");
        http::event_splitter events;
        std::string refusal;
        int status = 0;
        const auto start = steady_clock::now();
        auto last = start;
        bool has_token = false;
        request.response_handler = [&](const httplib::Response& response)
        {
            status = response.status;
            return true;
        };
        request.content_receiver =
            [&](const char* data, std::size_t size, std::uint64_t, std::uint64_t)
        {
            if (status != http_ok)
            {
                refusal.append(data, size);
                return refusal.size() <= max_refusal_bytes;
            }
            if (events.feed({data, size}).empty())
                return !events.is_too_large();
            auto& times = has_token ? m_report.between_tokens_ms : m_report.first_token_ms;
            times.push_back(ms_since(has_token ? last : start));
            has_token = true;
            last = steady_clock::now();
            return true;
        };
        const httplib::Result result = client.send(request);
        if (result && status == http_ok && events.is_done())
            ++m_report.answered;
        else if (result && status != http_ok)
            ++m_report.refused[reason_in(refusal)];
        else
            ++m_report.broken;
    }

    static std::string reason_in(const std::string& problem)
    {
        const nlohmann::json document = nlohmann::json::parse(problem, nullptr, false);
        const auto reason = document.is_object() ? document.find("reason") : document.end();
        const bool is_text =
            document.is_object() && reason != document.end() && reason->is_string();
        return is_text ? reason->get<std::string>() : "unknown";
    }

    const load_plan& m_plan;
    std::size_t m_number;
    load_report m_report;
};

void add(load_report& sum, const load_report& part)
{
    sum.answered += part.answered;
    sum.broken += part.broken;
    for (const auto& [reason, count] : part.refused)
    {
        sum.refused[reason] += count;
    }
    sum.first_token_ms.insert(sum.first_token_ms.end(), part.first_token_ms.begin(),
                              part.first_token_ms.end());
    sum.between_tokens_ms.insert(sum.between_tokens_ms.end(), part.between_tokens_ms.begin(),
                                 part.between_tokens_ms.end());
}

nlohmann::json quantiles(const std::vector<double>& values)
{
    return {{"p50", quantile(values, 0.5)},
            {"p95", quantile(values, 0.95)},
            {"p99", quantile(values, 0.99)}};
}

} // namespace

double quantile(std::vector<double> values, double part)
{
    if (values.empty())
        return 0;
    const auto index = static_cast<std::size_t>(part * static_cast<double>(values.size() - 1));
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(index);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

load_report run_load(const load_plan& plan)
{
    const auto until = steady_clock::now() + plan.run_time;
    load_report sum;
    std::mutex mutex;
    std::vector<std::jthread> threads;
    for (std::size_t number = 0; number < plan.callers; ++number)
    {
        threads.emplace_back(
            [&, number]
            {
                const load_report part = caller(plan, number).run(until);
                const std::lock_guard lock(mutex);
                add(sum, part);
            });
    }
    threads.clear();
    return sum;
}

std::string to_json_line(const load_plan& plan, const load_report& report)
{
    const nlohmann::json line = {{"entry", plan.entry.get()},
                                 {"service", plan.service.get()},
                                 {"callers", plan.callers},
                                 {"seconds", plan.run_time.count()},
                                 {"tokens", plan.tokens},
                                 {"answered", report.answered},
                                 {"broken", report.broken},
                                 {"refused", report.refused},
                                 {"first_token_ms", quantiles(report.first_token_ms)},
                                 {"between_tokens_ms", quantiles(report.between_tokens_ms)}};
    return core::json_text(line);
}

} // namespace snipeplank::ctl
