#include "soak_caller.hpp"

#include <array>
#include <utility>

#include "event_text.hpp"
#include "machine_fleet.hpp"

namespace snipeplank::tests
{

namespace
{

using namespace std::chrono_literals;
using std::chrono::milliseconds;

/// A node that is down refuses connections immediately, so wait longer.
constexpr milliseconds pause_while_down = 200ms;
/// From the end of a stream's connection until its caller takes it up.
constexpr milliseconds take_up_pause = 100ms;

soak_time now()
{
    return std::chrono::steady_clock::now();
}

} // namespace

soak_caller::soak_caller(std::size_t number, std::uint64_t seed, std::size_t node,
                         std::string address, const caller_view& view)
    : m_number(number), m_node(node), m_address(std::move(address)), m_view(view), m_random(seed),
      m_thread([this] { run(); })
{
}

std::vector<call_record> soak_caller::finish()
{
    if (m_thread.joinable())
        m_thread.join();
    return std::move(m_calls);
}

void soak_caller::run()
{
    for (int number = 0; !m_view.is_stopped; ++number)
    {
        call_record made =
            send(std::to_string(m_number) + "-" + std::to_string(number), m_random());
        std::this_thread::sleep_for(pause_after(made));
        m_calls.push_back(made);
        if (m_view.takes_streams_up && made.kind == call_kind::stream)
            take_up(std::move(made));
    }
}

/// Takes a stream up that has broken off, at the next node each time.
void soak_caller::take_up(call_record made)
{
    constexpr int max_tries = 3;
    std::string events;
    for (int number = 1; number <= max_tries && !m_view.is_stopped; ++number)
    {
        const bool is_whole = made.answer.is(200);
        if (made.answer.status == 200)
            events += whole_events(made.answer.body);
        if (is_whole || events.empty())
            return;
        std::this_thread::sleep_for(take_up_pause);
        made = send_again(made, events, number);
        m_calls.push_back(made);
    }
}

call_record soak_caller::send_again(const call_record& before, const std::string& events,
                                    int number)
{
    call_record made = before;
    made.id = before.stream + "-" + std::to_string(number);
    made.after = last_event(events);
    made.node = (before.node + 1) % m_view.nodes.size();
    made.is_left = false;
    made.idle.reset();
    const http_request request = machine_fleet::request("POST", path_of(made), made.id,
                                                        static_cast<int>(made.deadline.count()));
    made.sent = now();
    http_exchange exchange(m_view.nodes[made.node],
                           taken_up(request, made.id, made.stream, events));
    made.answer = exchange.finish();
    made.ended = now();
    return made;
}

/// Whether the caller leaves a stream before its end.
bool soak_caller::leaves(std::uint64_t draw) const
{
    constexpr std::uint64_t share = 3;
    return m_view.takes_streams_up && draw / 512 % share == 0;
}

/// Some callers send the next request as soon as they have an answer, and some pauses end when the
/// node is about to close the idle connection.
milliseconds soak_caller::pause_after(const call_record& made)
{
    constexpr std::uint64_t max_pause_ms = 60;
    const auto draw = m_random();
    if (made.answer.end == answer_end::no_connection)
        return pause_while_down;
    constexpr std::size_t eager_share = 3;
    if (m_view.sends_long_requests && m_number % eager_share == 0 && made.answer.is(200))
        return 0ms;
    constexpr std::uint64_t idle_share = 4;
    constexpr milliseconds longest_idle = 1s;
    const milliseconds limit = m_view.idle_limit();
    if (limit > 0ms && limit <= longest_idle && draw / 64 % idle_share == 0)
        return limit - 1ms + milliseconds{draw / 1'024 % 3};
    return milliseconds{draw % max_pause_ms};
}

milliseconds soak_caller::deadline_of(call_kind kind, std::uint64_t draw) const
{
    constexpr std::uint64_t min_ms = 500;
    constexpr std::uint64_t range_ms = 3'500;
    constexpr std::uint64_t min_stream_ms = 3'000;
    const bool is_long = m_view.sends_long_requests && kind == call_kind::stream;
    return milliseconds{(is_long ? min_stream_ms : min_ms) + draw / 7 % range_ms};
}

/// Whether this caller is one of a quarter of the callers, and the request one of a quarter of its.
bool soak_caller::is_drawn(std::size_t callers, std::uint64_t draw) const
{
    constexpr std::uint64_t share = 4;
    return m_number % share == callers && draw / 128 % share == 0;
}

call_record soak_caller::send(const std::string& id, std::uint64_t draw)
{
    static constexpr std::array kinds{call_kind::book, call_kind::read, call_kind::stream};
    call_record made;
    made.id = id;
    made.node = m_node;
    made.is_fatal = m_view.sends_fatal_path && is_drawn(2, draw);
    made.kind = made.is_fatal ? call_kind::read : kinds[draw % kinds.size()];
    made.deadline = deadline_of(made.kind, draw);
    http_request request =
        machine_fleet::request("POST", path_of(made), id, static_cast<int>(made.deadline.count()));
    if (m_view.sends_fatal_part && is_drawn(1, draw))
        request.headers["Prefix-Hash"] = "a:50," + fatal_part + ":50,b:50";
    if (made.is_fatal)
    {
        request.headers.erase("Prefix-Hash");
        request.headers.erase("Token-Usage");
    }
    request.keep_alive = true;
    made.sent = now();
    if (m_open && m_open->can_send_again())
    {
        made.idle = std::chrono::duration_cast<milliseconds>(made.sent - m_last_answer);
        m_open->send_again(request);
    }
    else
        m_open = std::make_unique<http_exchange>(m_address, request);
    if (m_view.takes_streams_up && made.kind == call_kind::stream)
        made.stream = id;
    if (!made.stream.empty() && leaves(draw) && m_open->read_body(event_text(1, 2, "v1").size()))
    {
        made.is_left = true;
        m_open->close();
    }
    made.answer = m_open->finish();
    made.ended = now();
    m_last_answer = made.ended;
    return made;
}

} // namespace snipeplank::tests
