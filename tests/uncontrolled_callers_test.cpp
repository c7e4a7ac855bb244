/// Callers that the operator does not control: a node keeps within the memory of its machine,
/// lives, and serves an ordinary request afterwards.

#include <CppUTest/TestHarness.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <unistd.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <string>
#include <thread>
#include <vector>

#include "machine_test.hpp"

using namespace snipeplank::tests;

namespace
{

constexpr std::size_t crowd = 40;
constexpr std::size_t max_memory_kb = std::size_t{machine_memory_mb} * 1'000;
/// Of a node that serves nobody, with room for the crowd and what the node opens itself.
constexpr std::size_t max_descriptors = 200 + 2 * crowd;

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

std::size_t descriptors(pid_t process)
{
    const std::filesystem::path open = "/proc/" + std::to_string(process) + "/fd";
    return static_cast<std::size_t>(std::distance(std::filesystem::directory_iterator(open), {}));
}

/// A connection that takes in little at a time.
int connect_to(const std::string& address)
{
    const std::size_t colon = address.rfind(':');
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    constexpr int small_buffer = 4'096;
    ::setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &small_buffer, sizeof small_buffer);
    const int connected = ::connect(socket, reinterpret_cast<sockaddr*>(&to), sizeof to);
    CHECK_EQUAL(0, connected);
    return socket;
}

std::string head_of(const std::string& method, const std::string& path, std::size_t number,
                    std::size_t body)
{
    return method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: c" +
           std::to_string(number) +
           "\r\nDeadline-Ms: 20000\r\nContent-Length: " + std::to_string(body) + "\r\n\r\n";
}

void send_all(int socket, const std::string& text)
{
    for (std::size_t sent = 0; sent < text.size();)
    {
        const auto count =
            ::send(socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count <= 0)
            return;
        sent += static_cast<std::size_t>(count);
    }
}

/// Long answers of one kind, and who asks for them.
struct slow_reading
{
    const char* name;
    const char* method;
    const char* path;
    const char* fault;   ///< of the server
    bool is_close_ended; ///< the answers end with their connection
};

} // namespace

TEST_GROUP_BASE(uncontrolled_callers, machine_test){
    /// Checks that each node lives within the memory and the descriptors of its machine.
    void check_sound(const char* what, std::size_t max_open = max_descriptors){
        for (std::size_t i = 0; i < fleet->node_count();
             ++i){const pid_t node = fleet->node(i).program->id();
const std::size_t memory = peak_memory_kb(node);
const std::size_t open = descriptors(node);
const std::string seen = std::string(what) + ", node " + std::to_string(i) + ": " +
                         std::to_string(memory) + " KiB, " + std::to_string(open) + " descriptors";
CHECK_TRUE_TEXT(fleet->node(i).program->is_running(), seen.c_str());
CHECK_TRUE_TEXT(memory > 0 && memory < max_memory_kb, seen.c_str());
CHECK_TRUE_TEXT(open <= max_open, seen.c_str());
}
}

/// A crowd asks the first node for long answers and reads 1 KB/s of each.
/// @param server of the last region
void check_slow_readers(const slow_reading& row, const std::vector<std::string>& regions)
{
    set_up(regions);
    const standin& server = fleet->add_server("i-s", "shop", regions.back());
    fleet->start_nodes();
    fleet->wait_until_served(0, "/read/x");
    machine_fleet::set_fault(server, row.fault);
    const std::string ends_with_connection = row.is_close_ended ? "1" : "0";
    CHECK_TRUE(http_post(server.address(), "/standin/close_ended", ends_with_connection).is(200));
    std::vector<int> readers;
    for (std::size_t i = 0; i < crowd; ++i)
    {
        readers.push_back(connect_to(fleet->node(0).callers));
        send_all(readers.back(), head_of(row.method, row.path, i, 0));
    }
    constexpr int rounds = 60;
    std::string part(100, ' ');
    for (int round = 0; round < rounds; ++round)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds{100});
        for (const int each : readers)
        {
            static_cast<void>(::recv(each, part.data(), part.size(), MSG_DONTWAIT));
        }
    }
    check_sound(row.name);
    machine_fleet::set_fault(server, "");
    fleet->wait_until_served(0, "/read/x");
    for (const int each : readers)
    {
        ::close(each);
    }
    fleet.reset();
}
}
;

// Fails when a node holds the long answers that many callers read slowly.
TEST(uncontrolled_callers, slow_readers_of_long_answers_do_not_fill_the_memory)
{
    const standin& server = start_with("i-s", "shop", "/read/x");
    for (const char* method : {"GET", "POST"})
    {
        const std::string path = method[0] == 'G' ? "/read/long" : "/book/long";
        machine_fleet::set_fault(server, "long");
        std::vector<int> readers;
        for (std::size_t i = 0; i < crowd; ++i)
        {
            readers.push_back(connect_to(fleet->node(0).callers));
            send_all(readers.back(), head_of(method, path, i, 0));
        }
        constexpr int rounds = 60;
        std::string part(100, ' ');
        for (int round = 0; round < rounds; ++round)
        {
            std::this_thread::sleep_for(std::chrono::milliseconds{100});
            for (const int each : readers)
            {
                static_cast<void>(::recv(each, part.data(), part.size(), MSG_DONTWAIT));
            }
        }
        check_sound(method);
        machine_fleet::set_fault(server, "");
        fleet->wait_until_served(0, "/read/x");
        for (const int each : readers)
        {
            ::close(each);
        }
    }
}

// Fails when a node holds the long bodies of many callers while their service has no server.
TEST(uncontrolled_callers, long_bodies_do_not_fill_the_memory)
{
    start_with("i-s", "shop", "/read/x");
    constexpr std::size_t body_bytes = 4'000'000;
    const std::string part(65'536, 'b');
    std::vector<int> callers;
    for (std::size_t i = 0; i < crowd; ++i)
    {
        callers.push_back(connect_to(fleet->node(0).callers));
        send_all(callers.back(), head_of("POST", "/stream/none", i, body_bytes));
    }
    constexpr int rounds = 200;
    for (int round = 0; round < rounds; ++round)
    {
        for (const int each : callers)
        {
            send_all(each, part);
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{10});
    }
    check_sound("bodies");
    fleet->wait_until_served(0, "/read/x");
    for (const int each : callers)
    {
        ::close(each);
    }
}

// Fails when a node holds the long answers without a length that many callers read slowly.
TEST(uncontrolled_callers, slow_readers_of_answers_without_a_length_do_not_fill_the_memory)
{
    const slow_reading rows[] = {
        {"chunked", "GET", "/read/long", "long_chunked", false},
        {"chunked, runs once", "POST", "/book/long", "long_chunked", false},
        {"until the connection ends", "GET", "/read/long", "long", true},
    };
    for (const slow_reading& row : rows)
    {
        check_slow_readers(row, {home});
    }
}

// Fails when one of two nodes holds the long answers of another region that many callers read
// slowly.
TEST(uncontrolled_callers, slow_readers_of_answers_of_another_region_do_not_fill_the_memory)
{
    const slow_reading rows[] = {
        {"known length", "GET", "/read/long", "long", false},
        {"chunked", "GET", "/read/long", "long_chunked", false},
        {"chunked, runs once", "POST", "/book/long", "long_chunked", false},
    };
    for (const slow_reading& row : rows)
    {
        check_slow_readers(row, {home, remote});
    }
}

// Fails when callers that open connections and send nothing use up the descriptors of the machine.
TEST(uncontrolled_callers, idle_connections_do_not_use_up_the_descriptors)
{
    constexpr std::size_t machine_descriptors = 400;
    constexpr std::size_t many = 500;
    set_up({home});
    fleet->set_limits(R"({"MaxFds":)" + std::to_string(machine_descriptors) + "}");
    fleet->add_server("i-s", "shop", home);
    fleet->start_nodes();
    fleet->wait_until_served(0, "/read/x");
    std::vector<int> idle;
    for (std::size_t i = 0; i < many; ++i)
    {
        idle.push_back(connect_to(fleet->node(0).callers));
    }
    std::this_thread::sleep_for(std::chrono::seconds{1});
    check_sound("idle", machine_descriptors);
    for (const int each : idle)
    {
        ::close(each);
    }
    fleet->wait_until_served(0, "/read/x");
}
