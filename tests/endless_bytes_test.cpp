/// Bytes that are no message and come without end: as requests to a node, and as answers to
/// `snipeplankctl` and to a node that reads the platform's store.

#include <CppUTest/TestHarness.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <poll.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <fstream>
#include <string>
#include <thread>

#include "machine_fleet.hpp"
#include "test_fleet.hpp"

using namespace snipeplank::tests;

namespace
{

/// More than a program may keep; what the socket buffers hold is a few MiB of it.
constexpr std::size_t endless_bytes = 67'108'864;
constexpr std::size_t max_growth_kb = 24'576;

struct bytes_without_end
{
    const char* name;
    std::string begin;
    std::string repeated;
};

std::string fields()
{
    std::string text;
    for (int i = 0; i < 100; ++i)
    {
        text += "Field-" + std::to_string(i) + ": value\r\n";
    }
    return text;
}

const std::string chunked = "Content-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n";

std::vector<bytes_without_end> messages(const std::string& first_line)
{
    return {
        {"fields of a head", first_line, fields()},
        {"one field", first_line + "Field: ", std::string(4'096, 'x')},
        {"a chunk size", first_line + chunked + "5;", std::string(4'096, 'x')},
        {"chunks", first_line + chunked, "1000\r\n" + std::string(4'096, 'x') + "\r\n"},
        {"trailers", first_line + chunked + "0\r\n", fields()},
    };
}

sockaddr_in to_sockaddr(const std::string& address)
{
    const std::size_t colon = address.rfind(':');
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
    return to;
}

/// Sends the bytes until the other side closes or takes no more for a while.
void send_endlessly(int socket, const bytes_without_end& what)
{
    constexpr int max_wait_ms = 3'000;
    std::size_t sent = 0;
    std::string next = what.begin;
    while (sent < endless_bytes)
    {
        pollfd writable{socket, POLLOUT, 0};
        if (::poll(&writable, 1, max_wait_ms) <= 0)
            return;
        const ssize_t count = ::send(socket, next.data(), next.size(), MSG_NOSIGNAL);
        if (count < 0)
            return;
        sent += static_cast<std::size_t>(count);
        next.erase(0, static_cast<std::size_t>(count));
        if (next.empty())
            next = what.repeated;
    }
}

/// Highest resident memory of a process so far, in KiB.
std::size_t peak_memory_kb(pid_t process)
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    for (std::string line; std::getline(status, line);)
    {
        if (line.starts_with("VmHWM:"))
            return std::stoul(line.substr(line.find_first_of("0123456789")));
    }
    return 0;
}

/// Answers each connection with bytes without end.
class endless_server
{
  public:
    explicit endless_server(bytes_without_end what)
        : m_what(std::move(what)), m_socket(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in any = to_sockaddr("127.0.0.1:0");
        static_cast<void>(::bind(m_socket, reinterpret_cast<sockaddr*>(&any), sizeof(any)));
        ::listen(m_socket, 16);
        socklen_t size = sizeof(any);
        ::getsockname(m_socket, reinterpret_cast<sockaddr*>(&any), &size);
        m_address = "127.0.0.1:" + std::to_string(ntohs(any.sin_port));
        m_thread = std::thread([this] { serve(); });
    }

    ~endless_server()
    {
        ::shutdown(m_socket, SHUT_RDWR);
        ::close(m_socket);
        m_thread.join();
    }
    endless_server(const endless_server&) = delete;
    endless_server& operator=(const endless_server&) = delete;

    const std::string& address() const { return m_address; }

  private:
    void serve() const
    {
        for (;;)
        {
            const int accepted = ::accept(m_socket, nullptr, nullptr);
            if (accepted < 0)
                return;
            std::array<char, 4'096> request{};
            ::recv(accepted, request.data(), request.size(), 0);
            send_endlessly(accepted, m_what);
            ::close(accepted);
        }
    }

    bytes_without_end m_what;
    int m_socket;
    std::string m_address;
    std::thread m_thread;
};

} // namespace

TEST_GROUP(endless_bytes){
    static void send_to(const std::string& address, const bytes_without_end& what){
        const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
const sockaddr_in to = to_sockaddr(address);
CHECK_TRUE(::connect(socket, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) == 0);
send_endlessly(socket, what);
::close(socket);
}
}
;

// Fails when a request of bytes without end, in its head or its body, fills the memory of a node.
TEST(endless_bytes, requests_do_not_fill_the_memory_of_a_node)
{
    fleet_topology topology;
    topology.regions = {"salzkammer"};
    topology.nodes_per_region = 1;
    test_fleet fleet(topology);
    test_node& node = fleet.node("salzkammer", 0);
    for (const std::string& address : {node.caller_address, node.admin_address})
    {
        for (const char* line :
             {"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n",
              "POST /v1/drained HTTP/1.1\r\nHost: a\r\n", "PRI /v1/status HTTP/1.1\r\nHost: a\r\n"})
        {
            for (const bytes_without_end& each : messages(line))
            {
                const std::size_t before = peak_memory_kb(node.process->id());
                send_to(address, each);
                const std::size_t after = peak_memory_kb(node.process->id());
                const std::string seen = std::string(each.name) + " of " + line + "at " + address +
                                         ": " + std::to_string(before) + " KiB, then " +
                                         std::to_string(after);
                CHECK_TRUE_TEXT(after > 0 && after < before + max_growth_kb, seen.c_str());
            }
        }
    }
    CHECK_TRUE(http_get(node.admin_address, "/v1/status").is(200));
}

// Fails when an answer of bytes without end fills the memory of `snipeplankctl`.
TEST(endless_bytes, answers_do_not_fill_the_memory_of_the_command)
{
    for (const bytes_without_end& each : messages("HTTP/1.1 200 OK\r\n"))
    {
        const endless_server server(each);
        child_process command("snipeplankctl", {"status", "--node", server.address()});
        std::size_t peak = 0;
        while (command.is_running())
        {
            peak = std::max(peak, peak_memory_kb(command.id()));
            std::this_thread::sleep_for(std::chrono::milliseconds{1});
        }
        const std::string seen = std::string(each.name) + ": " + std::to_string(peak) + " KiB";
        CHECK_TRUE_TEXT(command.wait() != 0, seen.c_str());
        CHECK_TRUE_TEXT(peak < 2 * max_growth_kb, seen.c_str());
    }
}

// Fails when an answer of the store without end fills the memory of a node.
TEST(endless_bytes, answers_of_the_store_do_not_fill_the_memory_of_a_node)
{
    for (const bytes_without_end& each : messages("HTTP/1.1 200 OK\r\n"))
    {
        const endless_server store(each);
        machine_fleet fleet({"salzkammer"});
        fleet.use_store(store.address());
        fleet.start_node(0);
        wait_for_status(fleet.node(0).readiness, "/api/readyz", 503);
        const pid_t process = fleet.node(0).program->id();
        const std::size_t before = peak_memory_kb(process);
        // A read of the store takes at most 2 s.
        std::this_thread::sleep_for(std::chrono::seconds{3});
        const std::size_t after = peak_memory_kb(process);
        const std::string seen = std::string(each.name) + ": " + std::to_string(before) +
                                 " KiB, then " + std::to_string(after);
        CHECK_TRUE_TEXT(after > 0 && after < 2 * max_growth_kb, seen.c_str());
    }
}
