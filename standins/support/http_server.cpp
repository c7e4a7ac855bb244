#include <arpa/inet.h>
#include <netinet/in.h>
#include <standins/support/http_server.hpp>
#include <sys/socket.h>

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <condition_variable>
#include <csignal>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <mutex>
#include <thread>
#include <utility>

namespace snipeplank::standins
{
namespace
{

constexpr int poll_interval_ms = 20;
constexpr std::chrono::seconds default_idle_timeout{600};
constexpr std::size_t max_keep_alive_requests = 1'000'000;

thread_local int current_socket = -1;

/// Runs each connection on its own thread, so that a silent call never blocks another one.
class thread_per_connection final : public httplib::TaskQueue
{
  public:
    void enqueue(std::function<void()> task) override
    {
        {
            const std::lock_guard lock(m_mutex);
            ++m_running;
        }
        std::thread(
            [this, task = std::move(task)]
            {
                task();
                const std::lock_guard lock(m_mutex);
                --m_running;
                m_changed.notify_all();
            })
            .detach();
    }

    void shutdown() override
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [this] { return m_running == 0; });
    }

  private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::size_t m_running = 0;
};

class socket_stream final : public httplib::Stream
{
  public:
    socket_stream(int socket, std::chrono::milliseconds idle_timeout,
                  const std::atomic<bool>& stopping)
        : m_socket(socket), m_idle_timeout(idle_timeout), m_stopping(stopping)
    {
    }

    bool is_readable() const override { return wait(POLLIN); }
    bool is_writable() const override { return wait(POLLOUT); }

    ssize_t read(char* data, size_t size) override
    {
        return wait(POLLIN) ? ::recv(m_socket, data, size, 0) : -1;
    }

    ssize_t write(const char* data, size_t size) override
    {
        return wait(POLLOUT) ? ::send(m_socket, data, size, MSG_NOSIGNAL) : -1;
    }

    void get_remote_ip_and_port(std::string& ip, int& port) const override
    {
        sockaddr_in address{};
        socklen_t length = sizeof(address);
        ::getpeername(m_socket, reinterpret_cast<sockaddr*>(&address), &length);
        describe(address, ip, port);
    }

    void get_local_ip_and_port(std::string& ip, int& port) const override
    {
        sockaddr_in address{};
        socklen_t length = sizeof(address);
        ::getsockname(m_socket, reinterpret_cast<sockaddr*>(&address), &length);
        describe(address, ip, port);
    }

    socket_t socket() const override { return m_socket; }

  private:
    static void describe(const sockaddr_in& address, std::string& ip, int& port)
    {
        char text[INET_ADDRSTRLEN] = {};
        ::inet_ntop(AF_INET, &address.sin_addr, text, sizeof(text));
        ip = text;
        port = ntohs(address.sin_port);
    }

    bool wait(short events) const
    {
        for (int waited = 0; waited < m_idle_timeout.count() && !m_stopping;
             waited += poll_interval_ms)
        {
            pollfd entry{m_socket, events, 0};
            if (::poll(&entry, 1, poll_interval_ms) > 0)
            {
                return true;
            }
        }
        return false;
    }

    int m_socket;
    std::chrono::milliseconds m_idle_timeout;
    const std::atomic<bool>& m_stopping;
};

sigset_t termination_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

host_port parse_host_port(const std::string& text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
    {
        std::cerr << "address '" << text << "' has no port; give IP:PORT\n";
        std::exit(EXIT_FAILURE);
    }
    return {text.substr(0, colon), std::atoi(text.c_str() + colon + 1)};
}

connection connection::current()
{
    return connection(current_socket);
}

bool connection::is_closed_by_caller() const
{
    char byte = 0;
    const ssize_t count = ::recv(m_socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

void connection::send_later(std::string bytes, std::chrono::milliseconds delay) const
{
    // A duplicate stays valid when the connection is closed meanwhile.
    const int duplicate = ::dup(m_socket);
    std::thread(
        [duplicate, bytes = std::move(bytes), delay]
        {
            std::this_thread::sleep_for(delay);
            static_cast<void>(::send(duplicate, bytes.data(), bytes.size(), MSG_NOSIGNAL));
            ::close(duplicate);
        })
        .detach();
}

void connection::cut() const
{
    ::shutdown(m_socket, SHUT_RDWR);
}

void connection::reset() const
{
    sockaddr none{};
    none.sa_family = AF_UNSPEC;
    static_cast<void>(::connect(m_socket, &none, sizeof(none)));
}

http_server::http_server() : m_idle_timeout(default_idle_timeout)
{
    // Threads inherit the mask, so only sigwait() in run() receives these signals.
    const sigset_t signals = termination_signals();
    ::pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    new_task_queue = [] { return new thread_per_connection; };
    set_tcp_nodelay(true);
    // These only set the Keep-Alive header; socket_stream applies the same idle timeout.
    set_keep_alive_max_count(max_keep_alive_requests);
    set_keep_alive_timeout(default_idle_timeout.count());
    // The default options of httplib allow two servers on one port, which would hide a port
    // conflict in a test.
    set_socket_options(
        [this](socket_t socket)
        {
            const int yes = 1;
            ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
            m_listener = socket;
        });
}

void http_server::set_idle_timeout(std::chrono::seconds timeout)
{
    constexpr std::chrono::seconds min_timeout{1};
    m_idle_timeout = std::max(timeout, min_timeout);
    set_keep_alive_timeout(std::max(timeout, min_timeout).count());
}

int http_server::run(const std::string& address, const std::string& relayed_address)
{
    const host_port where = parse_host_port(address);
    int port = where.port;
    if (port == 0)
    {
        port = bind_to_any_port(where.host);
    }
    else if (!bind_to_port(where.host, port))
    {
        port = -1;
    }
    if (port <= 0)
    {
        std::cerr << "cannot listen on " << address << "; choose a free port\n";
        return EXIT_FAILURE;
    }
    // httplib's backlog of 5 drops connections in a burst that a real engine would accept.
    constexpr int backlog = 1'024;
    ::listen(m_listener, backlog);
    std::thread listener([this] { listen_after_bind(); });
    while (!is_running())
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    const std::string served = where.host + ":" + std::to_string(port);
    std::cout << "ready "
              << (relayed_address.empty() ? served : relayed_address + " control " + served)
              << std::endl;
    const sigset_t signals = termination_signals();
    int received = 0;
    ::sigwait(&signals, &received);
    m_stopping = true;
    stop();
    listener.join();
    return EXIT_SUCCESS;
}

bool http_server::wait_for(std::chrono::microseconds duration) const
{
    constexpr std::chrono::microseconds poll_interval{5'000};
    const auto end = std::chrono::steady_clock::now() + duration;
    const connection caller = connection::current();
    while (!m_stopping && !caller.is_closed_by_caller())
    {
        const auto left = end - std::chrono::steady_clock::now();
        if (left <= left.zero())
        {
            return true;
        }
        std::this_thread::sleep_for(std::min<std::chrono::nanoseconds>(left, poll_interval));
    }
    return false;
}

void http_server::stay_silent() const
{
    constexpr std::chrono::hours max_silence{24};
    wait_for(max_silence);
    connection::current().cut();
}

bool http_server::process_and_close_socket(socket_t socket)
{
    current_socket = socket;
    socket_stream stream(socket, m_idle_timeout, m_stopping);
    bool closed = false;
    while (!closed && stream.is_readable())
    {
        if (connection(socket).is_closed_by_caller() ||
            !process_request(stream, false, closed, nullptr))
        {
            break;
        }
    }
    ::shutdown(socket, SHUT_RDWR);
    ::close(socket);
    return true;
}

} // namespace snipeplank::standins
