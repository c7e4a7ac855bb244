/// Stand-in for clients that send short generations at a steady rate, each on a new connection.

#include <gflags/gflags.h>

#include <httplib.h>

#include <array>
#include <chrono>
#include <cstdio>
#include <iostream>
#include <map>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

DEFINE_string(nodes, "", "addresses of the nodes, comma-separated");
DEFINE_double(rate, 100, "requests a second, of all clients together");
DEFINE_double(seconds, 10, "how long requests are sent");

namespace
{

using steady_clock = std::chrono::steady_clock;

std::vector<std::string> split(const std::string& text)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, ',');)
    {
        parts.push_back(part);
    }
    return parts;
}

/// The request number `number` of the client `client`, with the sizes of a buyer's question.
httplib::Headers headers_of(int client, int number)
{
    constexpr int prompts = 20;
    constexpr int subjects = 129;
    std::array<char, 32> id{};
    static_cast<void>(
        std::snprintf(id.data(), id.size(), "%04x%08x", client & 0xffff, number & 0xfffffff));
    const std::string prefix = "a" + std::to_string(client % prompts) + ":119,b" +
                               std::to_string(number % subjects) + ":79," + id.data() + ":430";
    return {{"Host", "shop.example"}, {"Attempt-Id", id.data()}, {"Deadline-Ms", "8000"},
            {"Model", "m"},           {"Token-Usage", "628,24"}, {"Prefix-Hash", prefix}};
}

class clients
{
  public:
    clients() : m_nodes(split(FLAGS_nodes)) {}

    void run()
    {
        constexpr int count = 200;
        std::vector<std::thread> threads;
        const auto begin = steady_clock::now();
        for (int client = 0; client < count; ++client)
        {
            threads.emplace_back([this, client, begin] { send_all(client, count, begin); });
        }
        for (std::thread& each : threads)
        {
            each.join();
        }
        for (const auto& [status, number] : m_answers)
        {
            std::cout << "answered " << status << ": " << number << "\n";
        }
    }

  private:
    void send_all(int client, int count, steady_clock::time_point begin)
    {
        const std::chrono::duration<double> length(FLAGS_seconds);
        for (int number = 0;; ++number)
        {
            const std::chrono::duration<double> due((number * count + client) / FLAGS_rate);
            if (due > length)
                return;
            std::this_thread::sleep_until(begin +
                                          std::chrono::duration_cast<steady_clock::duration>(due));
            send(client, number);
        }
    }

    void send(int client, int number)
    {
        constexpr std::size_t body_bytes = 830;
        const std::string& node =
            m_nodes[static_cast<std::size_t>(client + number) % m_nodes.size()];
        httplib::Client connection("http://" + node);
        const auto answer = connection.Post("/stream/ask", headers_of(client, number),
                                            std::string(body_bytes, 'q'), "text/plain");
        const std::lock_guard lock(m_mutex);
        ++m_answers[answer ? answer->status : 0];
    }

    std::vector<std::string> m_nodes;
    std::mutex m_mutex;
    std::map<int, int> m_answers; ///< by status; 0 for no answer
};

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    clients().run();
    return 0;
}
