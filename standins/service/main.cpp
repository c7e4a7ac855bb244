/// Stand-in for a plain service with a non-idempotent booking call.

#include <snipeplank/core/hash.hpp>

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>
#include <standins/support/call_faults.hpp>
#include <standins/support/http_server.hpp>

#include <map>
#include <mutex>

DEFINE_string(address, "127.0.0.1:0", "IP:PORT to listen on; port 0 takes a free one");
DEFINE_string(name, "service", "name in the confirmations");
DEFINE_double(work_ms, 1, "time that one call takes");

namespace snipeplank::standins
{
namespace
{

class service
{
  public:
    service()
    {
        m_faults.add_routes(m_server);
        // A gateway may forward the path with or without the service's name as a prefix.
        m_server.Post("(/[a-z0-9-]+)?/slots",
                      [this](const request& in, response& out) { book(in, out); });
        m_server.Get("(/[a-z0-9-]+)?/slots",
                     [this](const request& in, response& out) { list(in, out); });
        m_server.Get("/standin/executions", [this](const request&, response& out)
                     { out.set_content(executions().dump(), "application/json"); });
        m_server.Get(
            "/standin/counts",
            [this](const request&, response& out)
            {
                const std::lock_guard lock(m_mutex);
                const nlohmann::json document = {{"requests", m_requests}, {"refused", m_refused}};
                out.set_content(document.dump(), "application/json");
            });
        m_server.Get("/health", [](const request&, response& out) { out.status = 200; });
    }

    int run() { return m_server.run(FLAGS_address); }

  private:
    using request = httplib::Request;
    using response = httplib::Response;

    /// Counts the call and applies the faults before execution. Returns whether the call continues.
    bool begin(const call_fault& fault, response& out)
    {
        {
            const std::lock_guard lock(m_mutex);
            ++m_requests;
            m_refused += fault.refuse_status != 0 ? 1 : 0;
        }
        if (fault.refuse_status != 0)
        {
            out.status = fault.refuse_status;
            out.set_content(R"({"error":"refused before execution"})", "application/json");
            return false;
        }
        return !inject_fault(m_server, fault, "before_execution");
    }

    /// Simulates the work of a call. Continues after the caller disconnects, as a real application
    /// does.
    void work(const call_fault& fault) const
    {
        std::this_thread::sleep_for(
            std::chrono::duration<double, std::milli>(FLAGS_work_ms * fault.slow_factor));
    }

    void book(const request& in, response& out)
    {
        const call_fault fault = m_faults.fault_for_next_call();
        if (!begin(fault, out))
        {
            return;
        }
        const auto booking = nlohmann::json::parse(in.body, nullptr, false);
        if (!booking.is_object() || !booking.contains("booking_id") || !booking.contains("slot"))
        {
            out.status = 400;
            out.set_content(R"({"error":"give booking_id and slot"})", "application/json");
            return;
        }
        const std::string id = booking["booking_id"].get<std::string>();
        const auto& slot_value = booking["slot"];
        const std::string slot =
            slot_value.is_string() ? slot_value.get<std::string>() : slot_value.dump();
        const std::size_t execution = execute(id, slot);
        work(fault);
        if (inject_fault(m_server, fault, "after_execution"))
        {
            return;
        }
        const nlohmann::ordered_json answer = {
            {"booking_id", id},
            {"slot", booking["slot"]},
            {"execution", execution},
            {"confirmation", core::sha256_hex(FLAGS_name + in.body)},
            {"padding", std::string(booking.value("answer_bytes", std::size_t{0}), 'x')}};
        constexpr int created = 201;
        // Bytes that are not UTF-8, as in an answer that is no text.
        const std::string bytes = booking.value("binary", false) ? "\xff\xfe" : "";
        send_whole(m_server, out, fault, created, answer.dump() + bytes);
    }

    std::size_t execute(const std::string& id, const std::string& slot)
    {
        const std::lock_guard lock(m_mutex);
        m_slots[slot] = id;
        return ++m_executions[id];
    }

    void list(const request&, response& out)
    {
        const call_fault fault = m_faults.fault_for_next_call();
        if (!begin(fault, out))
        {
            return;
        }
        work(fault);
        nlohmann::json slots = nlohmann::json::object();
        {
            const std::lock_guard lock(m_mutex);
            slots = m_slots;
        }
        if (inject_fault(m_server, fault, "after_execution"))
        {
            return;
        }
        constexpr int ok = 200;
        send_whole(m_server, out, fault, ok,
                   nlohmann::ordered_json{{"service", FLAGS_name}, {"slots", slots}}.dump());
    }

    nlohmann::json executions()
    {
        const std::lock_guard lock(m_mutex);
        return m_executions;
    }

    http_server m_server;
    fault_registry m_faults;
    std::mutex m_mutex;
    std::map<std::string, std::size_t> m_executions;
    std::map<std::string, std::string> m_slots;
    std::size_t m_requests = 0;
    std::size_t m_refused = 0;
};

} // namespace
} // namespace snipeplank::standins

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return snipeplank::standins::service().run();
}
