/// Stand-in for a model engine with an OpenAI-style interface.

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>
#include <standins/engine/batch.hpp>
#include <standins/engine/load_report.hpp>
#include <standins/engine/prefix_cache.hpp>
#include <standins/support/call_faults.hpp>
#include <standins/support/engine_answer.hpp>
#include <standins/support/http_server.hpp>

#include <atomic>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

DEFINE_string(address, "127.0.0.1:0", "IP:PORT to listen on; port 0 takes a free one");
DEFINE_string(name, "engine", "name that the tokens depend on");
DEFINE_uint64(slots, 8, "requests in the running batch");
DEFINE_double(token_ms, 5, "time for one token");
DEFINE_double(prefill_ms_per_token, 0.02, "time for one token of the prompt that is not cached");
DEFINE_uint64(cache_entries, 4096, "blocks of 16 tokens in the prompt prefix cache");
DEFINE_uint64(report_lag_ms, 0, "age of the load that /metrics reports");
DEFINE_bool(checks_fencing, true, "refuse an order whose fencing number is not above the last one");
DEFINE_bool(resumes, true, "honour Last-Event-ID");
DEFINE_string(weight_store, "", "IP:PORT that a load order pulls its weights from");

namespace snipeplank::standins
{
namespace
{

struct engine_counts
{
    std::atomic<std::uint64_t> requests{0};
    std::atomic<std::uint64_t> completed{0};
    std::atomic<std::uint64_t> cancelled{0};
    std::atomic<std::uint64_t> refused{0};
    std::atomic<std::uint64_t> resumed{0};
    std::atomic<std::uint64_t> tokens{0};
    std::atomic<std::uint64_t> prefill_tokens{0};
    std::atomic<std::uint64_t> orders_accepted{0};
    std::atomic<std::uint64_t> orders_refused{0};
    std::atomic<std::uint64_t> weight_bytes{0};
};

class engine
{
  public:
    engine()
        : m_cache(FLAGS_cache_entries), m_report(std::chrono::milliseconds(FLAGS_report_lag_ms)),
          m_batch(FLAGS_slots,
                  [this](std::size_t running, std::size_t waiting) {
                      m_report.add(
                          {std::chrono::steady_clock::now(), running, waiting, m_cache.usage()});
                  })
    {
        m_faults.add_routes(m_server);
        add_completion_routes();
        add_report_routes();
        add_order_routes();
    }

    int run() { return m_server.run(FLAGS_address); }

  private:
    using request = httplib::Request;
    using response = httplib::Response;

    /// State of one running completion.
    struct generation
    {
        engine_answer answer;
        call_fault fault;
        batch::slot slot;
        std::size_t next_token;
    };

    void add_completion_routes()
    {
        m_server.Post("/v1/chat/completions",
                      [this](const request& in, response& out) { complete(in, out, true); });
        m_server.Post("/v1/completions",
                      [this](const request& in, response& out) { complete(in, out, false); });
    }

    void add_report_routes()
    {
        m_server.Get("/health", [](const request&, response& out) { out.status = 200; });
        m_server.Get(
            "/metrics", [this](const request&, response& out)
            { out.set_content(m_report.text(m_faults.current().freeze_reports), "text/plain"); });
        m_server.Get("/standin/counts", [this](const request&, response& out)
                     { out.set_content(counts_text(), "application/json"); });
    }

    void add_order_routes()
    {
        m_server.Post("/v1/orders",
                      [this](const request& in, response& out) { accept_order(in, out); });
        m_server.Get("/v1/orders",
                     [this](const request&, response& out)
                     {
                         const std::lock_guard lock(m_order_mutex);
                         const nlohmann::json document = {{"last_fencing_number", m_last_fencing},
                                                          {"state", m_ordered}};
                         out.set_content(document.dump(), "application/json");
                     });
    }

    void complete(const request& in, response& out, bool chat)
    {
        ++m_counts.requests;
        const call_fault fault = m_faults.fault_for_next_call();
        if (fault.refuse_status != 0)
        {
            ++m_counts.refused;
            out.status = fault.refuse_status;
            out.set_content(R"({"error":{"message":"refused","type":"overloaded"}})",
                            "application/json");
            return;
        }
        if (inject_fault(m_server, fault, "before_execution"))
        {
            return;
        }
        auto work = std::make_shared<generation>(
            generation{engine_answer(FLAGS_name, in.body, chat), fault, nullptr, 1});
        if (!prefill(*work))
        {
            return;
        }
        if (work->answer.is_streamed())
        {
            stream(in, out, work);
            return;
        }
        answer_whole(out, *work);
    }

    /// Waits for a slot, then for the prefill of the prompt. Returns false when the caller has
    /// disconnected.
    bool prefill(generation& work)
    {
        const connection caller = connection::current();
        const auto is_cancelled = [&]
        { return m_server.is_stopping() || caller.is_closed_by_caller(); };
        work.slot = m_batch.enter(work.answer.priority(), is_cancelled);
        if (!work.slot)
        {
            ++m_counts.cancelled;
            return false;
        }
        const std::size_t tokens = m_cache.enter(work.answer.prompt());
        m_counts.prefill_tokens += tokens;
        return wait_ms(FLAGS_prefill_ms_per_token * static_cast<double>(tokens), work.fault);
    }

    /// Simulates work of the given duration. Returns false when the caller has disconnected.
    bool wait_ms(double milliseconds, const call_fault& fault)
    {
        constexpr double us_per_ms = 1000;
        const auto scaled = std::chrono::microseconds(
            static_cast<std::int64_t>(milliseconds * us_per_ms * fault.slow_factor));
        const bool whole = m_server.wait_for(scaled);
        m_counts.cancelled += whole ? 0 : 1;
        return whole;
    }

    void answer_whole(response& out, generation& work)
    {
        const std::size_t count = work.answer.token_count();
        if (!wait_ms(FLAGS_token_ms * static_cast<double>(count), work.fault))
        {
            connection::current().cut();
            return;
        }
        m_counts.tokens += count;
        work.slot.reset();
        if (inject_fault(m_server, work.fault, "after_execution"))
        {
            return;
        }
        constexpr int ok = 200;
        send_whole(m_server, out, work.fault, ok, work.answer.whole());
        ++m_counts.completed;
    }

    void stream(const request& in, response& out, const std::shared_ptr<generation>& work)
    {
        if (FLAGS_resumes && in.has_header("Last-Event-ID"))
        {
            ++m_counts.resumed;
            work->next_token = std::stoull(in.get_header_value("Last-Event-ID")) + 1;
        }
        out.set_chunked_content_provider(
            "text/event-stream",
            [this, work, body = std::make_shared<faulty_body_writer>(m_server, work->fault)](
                std::size_t, httplib::DataSink& sink) { return next_event(*work, *body, sink); });
    }

    bool next_event(generation& work, faulty_body_writer& body, httplib::DataSink& sink)
    {
        if (work.next_token > work.answer.token_count())
        {
            work.slot.reset();
            if (!body.write(sink, engine_answer::done_event()))
            {
                return false;
            }
            sink.done();
            ++m_counts.completed;
            return true;
        }
        if (!wait_ms(FLAGS_token_ms, work.fault))
        {
            connection::current().cut();
            return false;
        }
        ++m_counts.tokens;
        return body.write(sink, work.answer.event(work.next_token++));
    }

    void accept_order(const request& in, response& out)
    {
        const auto number_text = in.get_header_value("Fencing-Number");
        const auto order = nlohmann::json::parse(in.body, nullptr, false);
        if (number_text.empty() || !order.is_object())
        {
            out.status = 400;
            return;
        }
        const std::uint64_t number = std::stoull(number_text);
        const std::lock_guard lock(m_order_mutex);
        if (FLAGS_checks_fencing && number <= m_last_fencing)
        {
            ++m_counts.orders_refused;
            out.status = 409;
            out.set_content(nlohmann::json{{"last_fencing_number", m_last_fencing}}.dump(),
                            "application/json");
            return;
        }
        m_last_fencing = number;
        m_ordered = order;
        ++m_counts.orders_accepted;
        pull_weights(order.value("model", ""));
        out.status = 202;
    }

    void pull_weights(const std::string& model)
    {
        if (FLAGS_weight_store.empty() || model.empty())
        {
            return;
        }
        m_pulls.emplace_back(
            [this, model]
            {
                const host_port store = parse_host_port(FLAGS_weight_store);
                httplib::Client client(store.host, store.port);
                client.Get("/v1/weights/" + model,
                           [this](const char*, std::size_t size)
                           {
                               m_counts.weight_bytes += size;
                               return !m_server.is_stopping();
                           });
            });
    }

    std::string counts_text() const
    {
        const nlohmann::json document = {{"name", FLAGS_name},
                                         {"requests", m_counts.requests.load()},
                                         {"completed", m_counts.completed.load()},
                                         {"cancelled", m_counts.cancelled.load()},
                                         {"refused", m_counts.refused.load()},
                                         {"resumed", m_counts.resumed.load()},
                                         {"tokens", m_counts.tokens.load()},
                                         {"prefill_tokens", m_counts.prefill_tokens.load()},
                                         {"orders_accepted", m_counts.orders_accepted.load()},
                                         {"orders_refused", m_counts.orders_refused.load()},
                                         {"weight_bytes", m_counts.weight_bytes.load()}};
        return document.dump();
    }

    http_server m_server;
    fault_registry m_faults;
    engine_counts m_counts;
    prefix_cache m_cache;
    load_report m_report;
    batch m_batch;
    std::mutex m_order_mutex;
    std::uint64_t m_last_fencing = 0;
    nlohmann::json m_ordered;
    std::vector<std::jthread> m_pulls;
};

} // namespace
} // namespace snipeplank::standins

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return snipeplank::standins::engine().run();
}
