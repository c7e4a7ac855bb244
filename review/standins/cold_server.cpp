/// Stand-in for a model server that can become cold: it crashes when it then gets requests at a
/// rate well above the one that it tolerates.

#include <gflags/gflags.h>
#include <standins/support/http_server.hpp>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <deque>
#include <iostream>
#include <memory>
#include <mutex>
#include <string>

DEFINE_string(address, "127.0.0.1:0", "IP:PORT to listen on; port 0 takes a free one");
DEFINE_string(id, "i-1", "id of this incarnation of the server");
DEFINE_int32(events, 15, "events of a streamed answer");
DEFINE_int32(event_ms, 40, "time between two events");
DEFINE_double(bound, 10.05, "requests in one second that the rules allow a cold server");
DEFINE_int32(crash_at, 14, "requests in one second at which a cold server crashes");

namespace snipeplank::standins
{
namespace
{

using steady_clock = std::chrono::steady_clock;

class cold_server
{
  public:
    cold_server()
    {
        m_server.Post("/standin/cold", [this](const request& in, response&) { begin_cold(in); });
        m_server.Get("/standin/most",
                     [this](const request&, response& out)
                     {
                         const std::lock_guard lock(m_mutex);
                         out.set_content(std::to_string(m_most) + "\n", "text/plain");
                     });
        m_server.Post("/.*", [this](const request& in, response& out) { answer(in, out); });
    }

    int run() { return m_server.run(FLAGS_address); }

  private:
    using request = httplib::Request;
    using response = httplib::Response;

    /// The server is cold for the milliseconds in the body.
    void begin_cold(const request& in)
    {
        const std::lock_guard lock(m_mutex);
        m_arrivals.clear();
        m_most = 0;
        m_cold_until = steady_clock::now() + std::chrono::milliseconds(std::stol(in.body));
    }

    void answer(const request& in, response& out)
    {
        constexpr int wrong_server = 421;
        if (in.get_header_value("Expect-Instance") != FLAGS_id)
        {
            out.status = wrong_server;
            return;
        }
        record_arrival();
        const std::string id = in.get_header_value("Attempt-Id");
        out.set_header("Attempt-Id", id);
        out.set_header("Server-Signature", "3e1b.07." + id);
        const auto run = std::make_shared<stream_run>(*this);
        out.set_chunked_content_provider("text/event-stream",
                                         [run](std::size_t, httplib::DataSink& sink)
                                         { return run->write(sink); });
    }

    void record_arrival()
    {
        const std::lock_guard lock(m_mutex);
        const auto now = steady_clock::now();
        if (now >= m_cold_until)
            return;
        m_arrivals.push_back(now);
        while (m_arrivals.front() + std::chrono::seconds(1) <= now)
        {
            m_arrivals.pop_front();
        }
        m_most = std::max(m_most, m_arrivals.size());
        if (m_arrivals.size() < static_cast<std::size_t>(FLAGS_crash_at))
            return;
        std::cout << "crashed: cold, " << m_arrivals.size() << " requests in one second, at most "
                  << FLAGS_bound << " allowed; " << m_running << " streams were at work"
                  << std::endl;
        std::_Exit(EXIT_FAILURE);
    }

    /// One streamed answer.
    class stream_run
    {
      public:
        explicit stream_run(cold_server& owner) : m_owner(owner)
        {
            const std::lock_guard lock(m_owner.m_mutex);
            ++m_owner.m_running;
        }

        ~stream_run()
        {
            const std::lock_guard lock(m_owner.m_mutex);
            --m_owner.m_running;
        }
        stream_run(const stream_run&) = delete;
        stream_run& operator=(const stream_run&) = delete;

        bool write(httplib::DataSink& sink)
        {
            if (m_sent == FLAGS_events)
            {
                sink.done();
                return true;
            }
            ++m_sent;
            const std::string event = "id: " + std::to_string(m_sent) + "\ndata: token " +
                                      std::to_string(m_sent) + "\n\n";
            return m_owner.m_server.wait_for(std::chrono::milliseconds(FLAGS_event_ms)) &&
                   sink.write(event.data(), event.size());
        }

      private:
        cold_server& m_owner;
        int m_sent = 0;
    };

    http_server m_server;
    std::mutex m_mutex;
    steady_clock::time_point m_cold_until{};
    std::deque<steady_clock::time_point> m_arrivals; ///< of the last second, while cold
    std::size_t m_most = 0;                          ///< in one second, while cold
    int m_running = 0;
};

} // namespace
} // namespace snipeplank::standins

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return snipeplank::standins::cold_server().run();
}
