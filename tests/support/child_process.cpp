#include "child_process.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <random>
#include <set>
#include <sstream>

#include "fail_test.hpp"

namespace snipeplank::tests
{
namespace
{

constexpr std::chrono::seconds ready_timeout{30};

[[noreturn]] void run_program(const std::vector<char*>& arguments, int output)
{
    // A test that crashes must not leave processes behind.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    ::execv(arguments.front(), arguments.data());
    constexpr int not_found = 127;
    ::_exit(not_found);
}

bool is_free(int port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const bool bound = ::bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
    ::close(socket);
    return bound;
}

/// Keeps other test processes from taking the port: they reserve it too before they use it. The
/// reservation, a UDP socket, ends with this process.
bool reserve(int port)
{
    const int socket = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0)
        return true;
    ::close(socket);
    return false;
}

int describe_status(int status)
{
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

} // namespace

std::string program_path(const std::string& name)
{
    const char* other_build = std::getenv("SNIPEPLANK_BIN_DIR");
    return std::string(other_build == nullptr ? SNIPEPLANK_BIN_DIR : other_build) + "/" + name;
}

child_process::child_process(const std::string& program, const std::vector<std::string>& arguments)
    : m_program(program)
{
    std::vector<std::string> words{program_path(program)};
    words.insert(words.end(), arguments.begin(), arguments.end());
    std::vector<char*> pointers;
    pointers.reserve(words.size() + 1);
    for (auto& word : words)
    {
        pointers.push_back(word.data());
    }
    pointers.push_back(nullptr);
    std::array<int, 2> ends{};
    if (::pipe2(ends.data(), O_CLOEXEC) != 0)
    {
        fail_test("cannot create a pipe for the output of " + program);
    }
    m_id = ::fork();
    if (m_id == 0)
    {
        run_program(pointers, ends[1]);
    }
    ::close(ends[1]);
    if (m_id < 0)
    {
        ::close(ends[0]);
        fail_test("cannot start " + program);
    }
    m_pipe = ends[0];
    m_reader = std::thread([this] { read_output(); });
}

child_process::~child_process()
{
    kill();
    release_output();
    m_reader.join();
    ::close(m_pipe);
}

std::vector<std::string> child_process::wait_ready_words()
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, ready_timeout,
                       [this] { return m_output_ended || find_line("ready ").has_value(); });
    const auto line = find_line("ready ");
    if (!line)
    {
        fail_test(m_program + " did not become ready; its output:\n" + m_output);
    }
    std::istringstream rest(line->substr(std::string("ready ").size()));
    std::vector<std::string> words;
    for (std::string word; rest >> word;)
    {
        words.push_back(word);
    }
    if (words.empty())
    {
        fail_test(m_program + " printed no address in its ready line");
    }
    return words;
}

void child_process::send_signal(int signal)
{
    if (is_running())
    {
        ::kill(m_id, signal);
    }
}

void child_process::pause()
{
    send_signal(SIGSTOP);
    if (m_status)
    {
        return;
    }
    // Until one of its threads has taken the signal, the others go on.
    siginfo_t stopped{};
    while (::waitid(P_PID, static_cast<id_t>(m_id), &stopped, WSTOPPED | WEXITED | WNOWAIT) < 0 &&
           errno == EINTR)
    {
    }
}

void child_process::resume()
{
    send_signal(SIGCONT);
}

void child_process::kill()
{
    send_signal(SIGKILL);
    wait();
}

int child_process::terminate()
{
    send_signal(SIGTERM);
    return wait();
}

int child_process::wait()
{
    if (!m_status)
    {
        int status = 0;
        ::waitpid(m_id, &status, 0);
        m_status = describe_status(status);
    }
    return *m_status;
}

bool child_process::is_running()
{
    int status = 0;
    if (!m_status && ::waitpid(m_id, &status, WNOHANG) == m_id)
    {
        m_status = describe_status(status);
    }
    return !m_status;
}

std::string child_process::output() const
{
    const std::lock_guard lock(m_mutex);
    return m_output;
}

void child_process::hold_output()
{
    constexpr std::chrono::milliseconds settling_time{50};
    const std::array<char, 4096> empty_lines = []
    {
        std::array<char, 4096> filled{};
        filled.fill('\n');
        return filled;
    }();
    {
        const std::lock_guard lock(m_mutex);
        m_is_held = true;
    }
    const std::string same_pipe = "/proc/self/fd/" + std::to_string(m_pipe);
    const int writer = ::open(same_pipe.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
    if (writer < 0)
        fail_test("cannot fill the output of " + m_program);
    // The reader may still take a part; then it holds.
    for (bool has_room = true; has_room;)
    {
        has_room = false;
        while (::write(writer, empty_lines.data(), empty_lines.size()) > 0)
        {
            has_room = true;
        }
        std::this_thread::sleep_for(settling_time);
    }
    ::close(writer);
}

void child_process::release_output()
{
    const std::lock_guard lock(m_mutex);
    m_is_held = false;
    m_changed.notify_all();
}

std::optional<int> child_process::wait_for(std::chrono::milliseconds limit)
{
    constexpr std::chrono::milliseconds step{5};
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (is_running())
    {
        if (std::chrono::steady_clock::now() >= deadline)
            return std::nullopt;
        std::this_thread::sleep_for(step);
    }
    return wait();
}

void child_process::read_output()
{
    std::array<char, 4096> buffer;
    ssize_t count = 0;
    while ((count = ::read(m_pipe, buffer.data(), buffer.size())) > 0)
    {
        std::unique_lock lock(m_mutex);
        m_output.append(buffer.data(), static_cast<std::size_t>(count));
        m_changed.notify_all();
        m_changed.wait(lock, [this] { return !m_is_held; });
    }
    const std::lock_guard lock(m_mutex);
    m_output_ended = true;
    m_changed.notify_all();
}

std::optional<std::string> child_process::find_line(const std::string& prefix) const
{
    std::size_t start = 0;
    for (auto end = m_output.find('\n'); end != std::string::npos; end = m_output.find('\n', start))
    {
        if (m_output.compare(start, prefix.size(), prefix) == 0)
        {
            return m_output.substr(start, end - start);
        }
        start = end + 1;
    }
    return std::nullopt;
}

std::string free_address()
{
    // Below the kernel's range of ephemeral ports.
    constexpr int first_port = 15'000;
    constexpr int last_port = 31'999;
    constexpr int attempts = 1'000;
    static std::mt19937 random{std::random_device{}()};
    // A port stays free until its process listens, so no port is returned twice.
    static std::set<int> given;
    std::uniform_int_distribution<int> draw(first_port, last_port);
    for (int attempt = 0; attempt < attempts; ++attempt)
    {
        const int port = draw(random);
        if (!given.contains(port) && reserve(port) && is_free(port))
        {
            given.insert(port);
            return "127.0.0.1:" + std::to_string(port);
        }
    }
    fail_test("no free loopback port found");
}

} // namespace snipeplank::tests
