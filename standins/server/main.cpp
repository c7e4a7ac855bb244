/// Stand-in for a server of the users' platform: signs its answers, or injects a fault. A process
/// that is started with the address and the id of one that has ended is the same server again.

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>
#include <standins/server/cold_phase.hpp>
#include <standins/server/health.hpp>
#include <standins/support/http_server.hpp>

#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

DEFINE_string(address, "127.0.0.1:0", "IP:PORT to listen on; port 0 takes a free one");
DEFINE_string(id, "i-1", "id of this incarnation of the server");
DEFINE_int32(events, 5, "events of a streamed answer");
DEFINE_int32(event_ms, 5, "time between two events");
DEFINE_int32(work_ms, 0, "time from the start of a run to its answer, or to its fault");
DEFINE_string(software, "", "version of its software, which each event then names");
DEFINE_string(health_path, "/healthz", "path of its health checks");
DEFINE_string(health, "", "way of answering health checks, as in `/standin/health`");
DEFINE_int32(cold_ms, 0, "time for which it is cold after its start");
DEFINE_int32(cold_crash_at, 0, "requests in one second that end it while it is cold; 0: none do");
DEFINE_int32(idle_s, 600, "time after which it closes an idle connection; 0: after each answer");

namespace snipeplank::standins
{
namespace
{

using nlohmann::json;
using std::chrono::milliseconds;

constexpr int wrong_server = 421;
constexpr int unavailable = 503;
constexpr int server_error = 500;
/// Of an answer with the fault `long`.
constexpr std::size_t long_answer_bytes = 8'000'000;

class server
{
  public:
    server() : m_health(m_server, FLAGS_id)
    {
        m_health.set_way(FLAGS_health);
        m_cold.begin(milliseconds(FLAGS_cold_ms));
        m_server.set_idle_timeout(std::chrono::seconds(FLAGS_idle_s));
        const auto serve = [this](const request& in, response& out)
        {
            answer(in, out);
            if (m_is_leaving || FLAGS_idle_s == 0)
                out.set_header("Connection", "close");
            stay_silent_if_told();
        };
        add_states();
        add_faults();
        m_server.Get("/api/report", [this](const request&, response& out)
                     { out.set_content(report(), "application/json"); });
        m_server.Get(FLAGS_health_path,
                     [this](const request& in, response& out)
                     {
                         if (!is_expected(in, out))
                             return;
                         m_health.answer(out, m_cold.remaining(), m_is_leaving);
                         stay_silent_if_told();
                     });
        m_server.Get("/.*", serve);
        m_server.Post("/.*", serve);
    }

    int run() { return m_server.run(FLAGS_address); }

  private:
    using request = httplib::Request;
    using response = httplib::Response;
    using time_point = std::chrono::steady_clock::time_point;

    static time_point now() { return std::chrono::steady_clock::now(); }

    /// Calls that say what the server considers itself to be.
    void add_states()
    {
        m_server.Post("/standin/cold", [this](const request& in, response&)
                      { m_cold.begin(milliseconds(std::atol(in.body.c_str()))); });
        m_server.Post("/standin/leaving",
                      [this](const request& in, response&) { m_is_leaving = in.body == "1"; });
        m_server.Post("/standin/health",
                      [this](const request& in, response&) { m_health.set_way(in.body); });
        m_server.Post("/standin/health_delay", [this](const request& in, response&)
                      { m_health.set_delay(milliseconds(std::atol(in.body.c_str()))); });
        m_server.Post("/standin/crash", [this](const request&, response&) { crash(""); });
    }

    void add_faults()
    {
        m_server.Post("/standin/fault",
                      [this](const request& in, response&)
                      {
                          const std::lock_guard lock(m_mutex);
                          m_fault = in.body;
                      });
        m_server.Get("/standin/seen", [this](const request&, response& out)
                     { out.set_content(seen(), "application/json"); });
        m_server.Post("/standin/silence", [this](const request& in, response&)
                      { m_silent_until = now() + milliseconds(std::atol(in.body.c_str())); });
        m_server.Post("/standin/close_ended",
                      [this](const request& in, response&) { m_is_close_ended = in.body == "1"; });
        m_server.Post("/standin/fatal_part",
                      [this](const request& in, response&)
                      {
                          const std::lock_guard lock(m_mutex);
                          m_fatal_part = in.body;
                      });
        m_server.Post("/standin/fatal_path",
                      [this](const request& in, response&)
                      {
                          const std::lock_guard lock(m_mutex);
                          m_fatal_path = in.body;
                      });
        m_server.Post("/standin/slow_end", [this](const request& in, response&)
                      { m_end_delay = milliseconds(std::atol(in.body.c_str())); });
        m_server.Post("/standin/say",
                      [this](const request& in, response&)
                      {
                          const std::lock_guard lock(m_mutex);
                          m_said_name = in.get_param_value("header");
                          m_said_value = in.body;
                          m_arrivals_ms.clear();
                      });
    }

    /// What it says of itself. No order was ever accepted.
    std::string report() const
    {
        const json model{{"Name", "m"}, {"Version", 1}, {"Adapters", json::array()}};
        return json{{"Phase", "both"}, {"Models", {model}}, {"Busy", false}, {"Sequence", 0},
                    {"QueueDepth", 0}, {"Running", 0},      {"KvUsed", 0},   {"KvTotal", 444'000},
                    {"Handles", 0},    {"born", m_born_ms}}
            .dump();
    }

    std::string seen()
    {
        const std::lock_guard lock(m_mutex);
        return json{{"runs", m_runs},
                    {"resumed", m_resumed},
                    {"born", m_born_ms},
                    {"version", FLAGS_software},
                    {"health_checks", m_health.checks()},
                    {"cold_most", m_cold.most()},
                    {"cold_arrivals_ms", m_cold.arrivals_ms()},
                    {"cancelled", m_cancelled},
                    {"cancelled_ms", m_cancelled_ms},
                    {"deadlines", m_deadlines},
                    {"endless_bytes", m_endless_bytes},
                    {"arrivals_ms", m_arrivals_ms},
                    {"rejected", m_rejected},
                    {"tenants", m_tenants},
                    {"keys", m_keys_seen},
                    {"ended_by", m_ended_by}}
            .dump();
    }

    /// Sends nothing while `/standin/silence` applies; then everything goes on.
    void stay_silent_if_told()
    {
        const time_point until = m_silent_until;
        if (now() < until)
            m_server.wait_for(std::chrono::duration_cast<std::chrono::microseconds>(until - now()));
    }

    /// Whether the request, or a part of its prompt, ends this program.
    bool is_fatal(const request& in)
    {
        const std::lock_guard lock(m_mutex);
        if (!m_fatal_path.empty() && in.path == m_fatal_path)
            return true;
        return !m_fatal_part.empty() &&
               in.get_header_value("Prefix-Hash").find(m_fatal_part + ":") != std::string::npos;
    }

    void set_ended_by(const std::string& path)
    {
        const std::lock_guard lock(m_mutex);
        m_ended_by = path;
    }

    /// Ends the program as a crash does, after a last line with what it has seen. Its connections
    /// are reset: a clean end would complete the answers that end with their connection. The
    /// process is gone a moment later, or after the time of `/standin/slow_end`.
    [[noreturn]] void crash(const std::string& path)
    {
        // Held to the end of the process: several requests may end it at once.
        const std::lock_guard lock(m_end_mutex);
        set_ended_by(path);
        std::cout << "crashed " << seen() << std::endl;
        constexpr int max_sockets = 1'024;
        for (int socket = STDERR_FILENO + 1; socket < max_sockets; ++socket)
        {
            connection(socket).reset();
        }
        std::this_thread::sleep_for(m_end_delay.load());
        std::_Exit(EXIT_FAILURE);
    }

    /// Refuses what names another server.
    static bool is_expected(const request& in, response& out)
    {
        if (!in.has_header("Expect-Instance") || in.get_header_value("Expect-Instance") == FLAGS_id)
            return true;
        out.status = wrong_server;
        out.set_header("Instance-Id", FLAGS_id);
        return false;
    }

    /// Counts a request that it does not answer with 421.
    void record_arrival(const request& in)
    {
        const std::size_t count = m_cold.on_arrival();
        if (FLAGS_cold_crash_at > 0 && count >= static_cast<std::size_t>(FLAGS_cold_crash_at))
            crash(in.path);
    }

    void answer(const request& in, response& out)
    {
        const std::string id = in.get_header_value("Attempt-Id");
        const std::string expected = in.get_header_value("Expect-Instance");
        if (expected == FLAGS_id)
            record_arrival(in);
        std::string fault;
        {
            const std::lock_guard lock(m_mutex);
            fault = m_fault;
            if (!m_said_name.empty())
                out.set_header(m_said_name, m_said_value);
            m_arrivals_ms.push_back(steady_ms());
            const bool is_rejected = fault == "shed" || expected != FLAGS_id;
            m_rejected += is_rejected ? 1 : 0;
            if (!is_rejected)
            {
                ++m_runs[id];
                m_tenants[id] = in.get_header_value("Tenant");
                m_keys_seen += in.has_header("Credential") ? 1 : 0;
                if (in.has_header("Last-Event-Id") || in.has_header("Resumes"))
                    m_resumed[id] = {{"Last-Event-Id", in.get_header_value("Last-Event-Id")},
                                     {"Resumes", in.get_header_value("Resumes")}};
                m_deadlines[id] = std::atol(in.get_header_value("Deadline-Ms").c_str());
            }
        }
        if (expected != FLAGS_id || fault == "shed")
            out.set_header("Attempt-Id", id);
        if (expected != FLAGS_id)
        {
            out.status = wrong_server;
            out.set_header("Instance-Id", FLAGS_id);
            return;
        }
        if (fault == "shed")
        {
            out.status = unavailable;
            out.set_header("Not-Executed", "1");
            return;
        }
        if (!m_server.wait_for(std::chrono::milliseconds(FLAGS_work_ms)))
        {
            record_cancelled(id);
            return;
        }
        if (fault == "reset")
        {
            connection::current().cut();
            return;
        }
        if (fault == "mute")
        {
            m_server.stay_silent();
            record_cancelled(id);
            return;
        }
        const bool is_other = fault == "other_id" || fault == "endless_other_id";
        out.set_header("Attempt-Id", is_other ? "0000" : id);
        if (fault != "unsigned")
            out.set_header("Server-Signature", "3e1b.07." + id);
        out.status = fault == "error" ? server_error : 200;
        const bool is_stream = in.path.find("/stream") != std::string::npos;
        if (fault == "endless" || fault == "endless_other_id")
            send_endlessly(out);
        else if (is_stream)
            stream(in, out, id, fault);
        else if (is_fatal(in))
            crash(in.path);
        else if (fault == "long")
            send_whole(out, std::string(long_answer_bytes, 'x'));
        else if (fault == "long_chunked")
            send_in_chunks(out);
        else
            send_whole(out, "answer of " + FLAGS_id + " to " + in.method + " " + in.path + " " +
                                in.body);
        if (fault == "answer_twice")
            send_copy_later(id, out.body);
    }

    /// Sends a second copy of an answer on the same connection, after the answer.
    static void send_copy_later(const std::string& id, const std::string& body)
    {
        constexpr std::chrono::milliseconds delay{20};
        connection::current().send_later(
            "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nServer-Signature: 3e1b.07." + id +
                "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
            delay);
    }

    void send_whole(response& out, const std::string& body) const
    {
        if (!m_is_close_ended)
        {
            out.set_content(body, "text/plain");
            return;
        }
        out.set_header("Connection", "close");
        out.set_content_provider("text/plain",
                                 [body](std::size_t, httplib::DataSink& sink)
                                 {
                                     sink.write(body.data(), body.size());
                                     connection::current().cut();
                                     return false;
                                 });
    }

    /// Sends a long answer whose length is not known before its end.
    void send_in_chunks(response& out)
    {
        out.set_chunked_content_provider(
            "text/plain",
            [this, left = long_answer_bytes](std::size_t, httplib::DataSink& sink) mutable
            {
                constexpr std::size_t block_size = 65'536;
                const std::string block(std::min(block_size, left), 'x');
                left -= block.size();
                if (block.empty())
                    sink.done();
                return !m_server.is_stopping() &&
                       (block.empty() || sink.write(block.data(), block.size()));
            });
    }

    void stream(const request& in, response& out, const std::string& id, const std::string& fault)
    {
        const std::string last = in.get_header_value("Last-Event-Id");
        const int next = last.empty() ? 1 : std::atoi(last.c_str()) + 1;
        const bool is_close_ended = m_is_close_ended;
        auto write = event_writer(next, id, fault, is_fatal(in) ? in.path : "", is_close_ended);
        if (!is_close_ended)
        {
            out.set_chunked_content_provider("text/event-stream", std::move(write));
            return;
        }
        out.set_header("Connection", "close");
        out.set_content_provider("text/event-stream", std::move(write));
    }

    std::function<bool(std::size_t, httplib::DataSink&)>
    event_writer(int next, const std::string& id, const std::string& fault,
                 const std::string& fatal, bool is_close_ended)
    {
        return [this, next, id, fault, fatal, is_close_ended](std::size_t,
                                                              httplib::DataSink& sink) mutable
        {
            if (!fatal.empty())
                crash(fatal);
            if (fault == "break_stream" && next == 3)
            {
                const std::string half = "id: 3\ndata: to";
                sink.write(half.data(), half.size());
                connection::current().cut();
                return false;
            }
            stay_silent_if_told();
            if (next > FLAGS_events)
            {
                if (is_close_ended)
                    connection::current().cut();
                else
                    sink.done();
                return !is_close_ended;
            }
            const std::string event =
                "id: " + std::to_string(next) + "\ndata: token " + std::to_string(next) +
                (FLAGS_software.empty() ? "" : " of " + FLAGS_software) + "\n\n";
            ++next;
            if (!m_server.wait_for(std::chrono::milliseconds(FLAGS_event_ms)) ||
                !sink.write(event.data(), event.size()))
            {
                record_cancelled(id);
                return false;
            }
            return true;
        };
    }

    /// Sends bytes that contain no event until the caller closes, or up to a cap.
    void send_endlessly(response& out)
    {
        constexpr std::size_t block_size = 65'536;
        constexpr std::size_t cap = 268'435'456;
        out.set_chunked_content_provider(
            "text/event-stream",
            [this, sent = std::size_t{0}](std::size_t, httplib::DataSink& sink) mutable
            {
                const std::string block(block_size, 'a');
                if (sent >= cap || m_server.is_stopping() || !sink.write(block.data(), block_size))
                    return false;
                sent += block_size;
                const std::lock_guard lock(m_mutex);
                m_endless_bytes = std::max(m_endless_bytes, sent);
                return true;
            });
    }

    void record_cancelled(const std::string& id)
    {
        const std::lock_guard lock(m_mutex);
        m_cancelled.insert(id);
        m_cancelled_ms[id] = steady_ms();
    }

    static long steady_ms()
    {
        return std::chrono::duration_cast<milliseconds>(now().time_since_epoch()).count();
    }

    static long unix_ms()
    {
        const auto since = std::chrono::system_clock::now().time_since_epoch();
        return std::chrono::duration_cast<milliseconds>(since).count();
    }

    http_server m_server;
    health m_health;
    cold_phase m_cold;
    const long m_born_ms = unix_ms();
    std::atomic<bool> m_is_leaving{false};
    std::mutex m_mutex;
    std::mutex m_end_mutex;
    std::string m_fault;
    std::map<std::string, int> m_runs;
    json m_resumed = json::object(); ///< what the requests that it ran say of a stream before
    std::map<std::string, long> m_deadlines;
    std::map<std::string, std::string> m_tenants; ///< that each request it ran names
    int m_keys_seen = 0;                          ///< requests that it ran with a client's key
    std::set<std::string> m_cancelled;
    std::map<std::string, long> m_cancelled_ms; ///< when it stopped work, on the steady clock
    std::string m_said_name; ///< header that it adds to all answers; empty for none
    std::string m_said_value;
    std::vector<long> m_arrivals_ms; ///< times of the requests since it was told its header
    std::size_t m_endless_bytes = 0; ///< most bytes sent in one endless answer
    int m_rejected = 0;
    std::string m_ended_by; ///< path of the request that ends this program
    std::atomic<time_point> m_silent_until{time_point{}};
    std::atomic<milliseconds> m_end_delay{milliseconds{0}};
    std::atomic<bool> m_is_close_ended{false}; ///< answers end with their connection
    std::string m_fatal_part;                  ///< part of a prompt that ends this program
    std::string m_fatal_path;                  ///< of the requests that end this program
};

} // namespace
} // namespace snipeplank::standins

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return snipeplank::standins::server().run();
}
