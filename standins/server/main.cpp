/// Stand-in for a server of the users' platform: signs its answers, or injects a fault.

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>
#include <standins/support/http_server.hpp>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>

DEFINE_string(address, "127.0.0.1:0", "IP:PORT to listen on; port 0 takes a free one");
DEFINE_string(id, "i-1", "id of this incarnation of the server");
DEFINE_int32(events, 5, "events of a streamed answer");
DEFINE_int32(event_ms, 5, "time between two events");
DEFINE_int32(work_ms, 0, "time from the start of a run to its answer, or to its fault");

namespace snipeplank::standins
{
namespace
{

using nlohmann::json;

constexpr int wrong_server = 421;
constexpr int unavailable = 503;
constexpr int server_error = 500;

class server
{
  public:
    server()
    {
        const auto serve = [this](const request& in, response& out) { answer(in, out); };
        m_server.Post("/standin/fault",
                      [this](const request& in, response&)
                      {
                          const std::lock_guard lock(m_mutex);
                          m_fault = in.body;
                      });
        m_server.Get("/standin/seen",
                     [this](const request&, response& out)
                     {
                         const std::lock_guard lock(m_mutex);
                         out.set_content(json{{"runs", m_runs},
                                              {"cancelled", m_cancelled},
                                              {"deadlines", m_deadlines},
                                              {"endless_bytes", m_endless_bytes},
                                              {"rejected", m_rejected}}
                                             .dump(),
                                         "application/json");
                     });
        m_server.Get("/.*", serve);
        m_server.Post("/.*", serve);
    }

    int run() { return m_server.run(FLAGS_address); }

  private:
    using request = httplib::Request;
    using response = httplib::Response;

    void answer(const request& in, response& out)
    {
        const std::string id = in.get_header_value("Attempt-Id");
        const std::string expected = in.get_header_value("Expect-Instance");
        std::string fault;
        {
            const std::lock_guard lock(m_mutex);
            fault = m_fault;
            const bool is_rejected = fault == "shed" || expected != FLAGS_id;
            m_rejected += is_rejected ? 1 : 0;
            if (!is_rejected)
            {
                ++m_runs[id];
                m_deadlines[id] = std::atol(in.get_header_value("Deadline-Ms").c_str());
            }
        }
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
        if (fault == "endless" || fault == "endless_other_id")
            send_endlessly(out);
        else if (in.path.find("/stream") != std::string::npos)
            stream(in, out, id, fault);
        else
            out.set_content("answer of " + FLAGS_id + " to " + in.method + " " + in.path + " " +
                                in.body,
                            "text/plain");
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

    /// Whether the fault `crash_on:PART` applies: the prompt has this part, and not as the last.
    static bool crashes_on_prompt(const request& in, const std::string& fault)
    {
        const std::string prefix = "crash_on:";
        if (!fault.starts_with(prefix))
            return false;
        const std::string prompt = "," + in.get_header_value("Prefix-Hash");
        const std::size_t part = prompt.find("," + fault.substr(prefix.size()) + ":");
        return part != std::string::npos && prompt.find(',', part + 1) != std::string::npos;
    }

    void stream(const request& in, response& out, const std::string& id, const std::string& fault)
    {
        const bool crashes = crashes_on_prompt(in, fault);
        const std::string last = in.get_header_value("Last-Event-Id");
        int next = last.empty() ? 1 : std::atoi(last.c_str()) + 1;
        out.set_chunked_content_provider(
            "text/event-stream",
            [this, next, id, fault, crashes](std::size_t, httplib::DataSink& sink) mutable
            {
                if (crashes)
                    std::_Exit(EXIT_FAILURE);
                if (fault == "break_stream" && next == 3)
                {
                    const std::string half = "id: 3\ndata: to";
                    sink.write(half.data(), half.size());
                    connection::current().cut();
                    return false;
                }
                if (next > FLAGS_events)
                {
                    sink.done();
                    return true;
                }
                const std::string event = "id: " + std::to_string(next) + "\ndata: token " +
                                          std::to_string(next) + "\n\n";
                ++next;
                if (!m_server.wait_for(std::chrono::milliseconds(FLAGS_event_ms)) ||
                    !sink.write(event.data(), event.size()))
                {
                    record_cancelled(id);
                    return false;
                }
                return true;
            });
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
    }

    http_server m_server;
    std::mutex m_mutex;
    std::string m_fault;
    std::map<std::string, int> m_runs;
    std::map<std::string, long> m_deadlines;
    std::set<std::string> m_cancelled;
    std::size_t m_endless_bytes = 0; ///< most bytes sent in one endless answer
    int m_rejected = 0;
};

} // namespace
} // namespace snipeplank::standins

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return snipeplank::standins::server().run();
}
