/// MIXED and ORDER: an answer without a length that is reset on the way reaches the client as a
/// whole success.

#include <sys/socket.h>

#include "../harness-2/harness.hpp"

using namespace snipeplank::review;

namespace
{

/// `garble` of the site: share = 0.35, x = 0.02, for_s = 5.0, the least of what the site names for
/// it.
constexpr unsigned servers = 3; ///< one of them is faulty
constexpr unsigned spoiled_one_of = 50;
constexpr milliseconds fault_time{5'000};
constexpr unsigned clients = 4;
constexpr milliseconds work{10};
/// Between the parts of an answer that is made piece by piece.
constexpr milliseconds part_interval{200};
constexpr char ip[] = "127.0.0.1";
constexpr char zone[] = "santiago-a";

std::string configuration()
{
    const auto route = [](const std::string& name, const std::string& kind)
    {
        return R"({"Name":")" + name + R"(","Host":"portal.example","PathPrefix":"/)" + name +
               R"(/","Kind":")" + kind +
               R"(","TimeoutMs":4000,"GoalMs":600,"Priority":2,"MaxAttempts":1,)"
               R"("Service":"portal-app","Resumable":false})";
    };
    return R"({"Version":1,"Routes":[)" + route("order", "non_idempotent") + "," +
           route("note", "streaming") +
           R"(],"Services":[{"Name":"portal-app","HealthPath":"/healthz"}],)"
           R"("Limits":{"HeaderBytes":16384,"BodyBytes":4194304,"HeaderTimeoutMs":3000,)"
           R"("IdleTimeoutMs":15000}})";
}

bool is_stream(const message& request)
{
    return request.target().starts_with("/note/");
}

std::vector<std::string> parts_of(const message& request)
{
    if (is_stream(request))
        return {"id: 1\ndata: first\n\n", "id: 2\ndata: second\n\n", "id: 3\ndata: third\n\n"};
    return {"order taken;", "price 40;", "renders on Monday;"};
}

std::string body_of(const message& request)
{
    std::string whole;
    for (const std::string& part : parts_of(request))
    {
        whole += part;
    }
    return whole;
}

std::string head_of(const message& request)
{
    const std::string attempt = request.header("Attempt-Id");
    return "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nServer-Signature: 3e1b.07." +
           attempt +
           "\r\nContent-Type: " + (is_stream(request) ? "text/event-stream" : "text/plain") +
           "\r\n";
}

bool send_whole(int descriptor, const message& request)
{
    pause_for(work);
    const std::string body = body_of(request);
    return write_all(descriptor, head_of(request) + "Content-Length: " +
                                     std::to_string(body.size()) + "\r\n\r\n" + body);
}

/// Sends two of three parts of an answer without a length, then resets the connection.
bool send_cut(int descriptor, const message& request)
{
    const std::vector<std::string> parts = parts_of(request);
    write_all(descriptor, head_of(request) + "Connection: close\r\n\r\n" + parts[0]);
    pause_for(part_interval);
    write_all(descriptor, parts[1]);
    const linger by_reset{1, 0};
    ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &by_reset, sizeof by_reset);
    record("  the answer to " + request.header("Attempt-Id") + " was cut by a reset after '" +
           parts[1].substr(0, parts[1].find('\n')) + "'");
    return false;
}

/// What the clients have seen.
struct outcome
{
    std::atomic<unsigned> whole{0};
    std::atomic<unsigned> wrong{0}; ///< complete successes with another body than the server's
    std::atomic<unsigned> others{0};
};

void send_requests(const std::string& front, unsigned client, const std::atomic<bool>& has_ended,
                   outcome& seen)
{
    for (unsigned i = 0; !has_ended; ++i)
    {
        const std::string id = "c" + std::to_string(client) + "-" + std::to_string(i);
        const std::string path = i % 2 == 0 ? "/order/1" : "/note/1";
        const message answer = call(
            front, "POST", path,
            {{"Host", "portal.example"}, {"Attempt-Id", id}, {"Deadline-Ms", "3000"}}, "a render");
        message asked;
        asked.first_line = "POST " + path + " HTTP/1.1";
        std::string line = id;
        line.append(" ").append(path);
        if (answer.status() != 200 || !answer.is_whole)
        {
            ++seen.others;
            record(line.append(": status ")
                       .append(std::to_string(answer.status()))
                       .append(answer.is_whole ? "" : ", cut off"));
            continue;
        }
        const bool is_wrong = answer.body != body_of(asked);
        ++(is_wrong ? seen.wrong : seen.whole);
        if (!is_wrong)
            continue;
        line.append(": a complete 200 with ");
        line.append(std::to_string(answer.body.size())).append(" of ");
        line.append(std::to_string(body_of(asked).size())).append(" bytes");
        record(line);
    }
}

verdict run()
{
    // The stand-ins live to the end of the process.
    store& platform = *new store;
    registry& reports = *new registry(platform);
    platform.put("op/config", configuration());
    std::atomic<bool>& is_faulty = *new std::atomic<bool>{false};
    std::atomic<unsigned>& answers = *new std::atomic<unsigned>{0};
    for (unsigned i = 0; i < servers; ++i)
    {
        server& made = *new server("i-5a0000b" + std::to_string(i), "portal-app", zone);
        made.answer_with(
            [i, &is_faulty, &answers](int descriptor, const message& request)
            {
                const bool is_cut = i == 0 && is_faulty && ++answers % spoiled_one_of == 0;
                return is_cut ? send_cut(descriptor, request) : send_whole(descriptor, request);
            });
        reports.add(made);
    }
    fleet machines(zone_map{{zone, "santiago"}});
    machines.start(
        {{"front-santiago-a-1", ip, zone, "santiago", 260, platform.add_path().server->address()}});
    const std::string front = machines.front(ip);
    unsigned number = 0;
    const auto is_served = [&]
    {
        return call(front, "POST", "/order/1",
                    {{"Host", "portal.example"},
                     {"Attempt-Id", "first-" + std::to_string(++number)},
                     {"Deadline-Ms", "2000"}},
                    "a render")
                   .status() == 200;
    };
    if (!wait_until(is_served, milliseconds{20'000}))
        throw setup_error{"no order is served"};
    pause_for(milliseconds{1'000});
    outcome seen;
    std::atomic<bool> has_ended{false};
    std::vector<std::thread> threads;
    is_faulty = has_trouble();
    for (unsigned i = 0; i < clients; ++i)
    {
        threads.emplace_back([&, i] { send_requests(front, i, has_ended, seen); });
    }
    pause_for(fault_time);
    is_faulty = false;
    has_ended = true;
    for (std::thread& each : threads)
    {
        each.join();
    }
    record("answers of the faulty server meanwhile: " + std::to_string(answers));
    record("whole successes: " + std::to_string(seen.whole) +
           ", no success, or cut off: " + std::to_string(seen.others));
    record("complete successes that lack a part of the server's answer: " +
           std::to_string(seen.wrong));
    return seen.wrong > 0 ? verdict::broken : verdict::held;
}

} // namespace

int main()
{
    return run_case(run);
}
