/// @file
/// Test doubles on loopback: handlers, scripted servers and raw connections.

#ifndef SNIPEPLANK_HTTP_TESTS_LOOPBACK_HPP
#define SNIPEPLANK_HTTP_TESTS_LOOPBACK_HPP

#include <snipeplank/http/client.hpp>
#include <snipeplank/http/server.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace snipeplank::http::tests
{

using boost::asio::ip::tcp;

/// @brief Answers every request with its method, target and body, and records the targets.
class echo_handler final : public request_handler
{
  public:
    server_limits limits() const override { return m_limits; }

    boost::asio::awaitable<void> handle(exchange& request) override
    {
        targets.push_back(request.head().target);
        response answer;
        answer.head.status = 200;
        answer.body = request.head().method + " " + request.head().target + " " + request.body();
        co_await request.send(std::move(answer));
    }

    void set_limits(const server_limits& limits) { m_limits = limits; }

    std::vector<std::string> targets;

  private:
    server_limits m_limits;
};

/// @brief A blocking connection that sends and reads plain bytes.
class raw_connection
{
  public:
    explicit raw_connection(const core::address& server) : m_socket(m_loop)
    {
        const std::string& text = server.get();
        const std::size_t colon = text.rfind(':');
        m_socket.connect({boost::asio::ip::make_address(text.substr(0, colon)),
                          static_cast<unsigned short>(std::stoi(text.substr(colon + 1)))});
    }

    /// @return whether the connection took all bytes
    bool send(const std::string& bytes)
    {
        boost::system::error_code error;
        boost::asio::write(m_socket, boost::asio::buffer(bytes), error);
        return !error;
    }

    /// @brief Reads until the server closes.
    std::string read_all()
    {
        std::string received;
        boost::system::error_code error;
        boost::asio::read(m_socket, boost::asio::dynamic_buffer(received), error);
        return received;
    }

    /// @brief Reads until the server closes, with a pause after each part.
    std::string read_all_slowly(std::size_t part_size, core::milliseconds pause)
    {
        std::string received;
        std::string part(part_size, ' ');
        boost::system::error_code error;
        while (!error)
        {
            const std::size_t size = m_socket.read_some(boost::asio::buffer(part), error);
            received.append(part, 0, size);
            std::this_thread::sleep_for(pause);
        }
        return received;
    }

    /// @brief Reads until `text` has arrived or the server closes.
    std::string read_until(const std::string& text)
    {
        std::string received;
        char byte = 0;
        boost::system::error_code error;
        while (!error && received.find(text) == std::string::npos)
        {
            if (m_socket.read_some(boost::asio::buffer(&byte, 1), error) == 1)
                received += byte;
        }
        return received;
    }

    void close() { m_socket.close(); }

    /// @brief Sends bytes that never end, until the server closes.
    /// @return the number of bytes sent
    std::size_t send_endlessly(const std::string& prefix, const std::string& pattern);

    /// @brief Closes with a TCP reset.
    void reset()
    {
        m_socket.set_option(boost::asio::socket_base::linger(true, 0));
        m_socket.close();
    }

  private:
    boost::asio::io_context m_loop;
    tcp::socket m_socket;
};

/// @brief Runs an event loop on a thread for the life of the object.
class loop_thread
{
  public:
    loop_thread() : m_work(boost::asio::make_work_guard(loop)), m_thread([this] { loop.run(); }) {}

    ~loop_thread() { stop(); }
    loop_thread(const loop_thread&) = delete;
    loop_thread& operator=(const loop_thread&) = delete;

    /// @brief Ends the thread, so that objects which use the loop can be destroyed before it.
    void stop()
    {
        loop.stop();
        if (m_thread.joinable())
            m_thread.join();
    }

    boost::asio::io_context loop;

  private:
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::thread m_thread;
};

/// @brief Accepts one connection at a time and answers its request head with given bytes.
class scripted_server
{
  public:
    /// @param answers bytes for each connection in turn, sent once a request head has arrived
    /// @param resets whether a connection ends with a reset instead of a clean close
    scripted_server(std::vector<std::string> answers, bool resets)
        : m_acceptor(m_loop, {boost::asio::ip::make_address("127.0.0.1"), 0}),
          m_thread([this, answers = std::move(answers), resets] { run(answers, resets); })
    {
    }

    ~scripted_server() { m_thread.join(); }
    scripted_server(const scripted_server&) = delete;
    scripted_server& operator=(const scripted_server&) = delete;

    core::address address() const
    {
        return core::address{"127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port())};
    }

  private:
    void run(const std::vector<std::string>& answers, bool resets)
    {
        for (const std::string& answer : answers)
        {
            tcp::socket socket(m_loop);
            m_acceptor.accept(socket);
            std::string received;
            char byte = 0;
            boost::system::error_code error;
            while (!error && received.find("\r\n\r\n") == std::string::npos)
            {
                if (socket.read_some(boost::asio::buffer(&byte, 1), error) == 1)
                    received += byte;
            }
            boost::asio::write(socket, boost::asio::buffer(answer), error);
            if (resets)
                socket.set_option(boost::asio::socket_base::linger(true, 0));
            socket.close();
        }
    }

    boost::asio::io_context m_loop;
    tcp::acceptor m_acceptor;
    std::thread m_thread;
};

/// Upper bound of what an endless sender writes when the receiver never closes.
constexpr std::size_t endless_bytes_cap = 67'108'864;

/// What a receiver may accept of an endless message: its own limits and the socket buffers.
constexpr std::size_t endless_bytes_bound = 16'777'216;

/// @brief Writes `prefix` and then `pattern` again and again, until the receiver closes or
/// `endless_bytes_cap` is reached.
/// @return the number of bytes written
inline std::size_t write_endlessly(tcp::socket& socket, const std::string& prefix,
                                   const std::string& pattern)
{
    constexpr std::size_t block_size = 65'536;
    std::string block;
    while (block.size() < block_size)
    {
        block += pattern;
    }
    boost::system::error_code error;
    std::size_t written = boost::asio::write(socket, boost::asio::buffer(prefix), error);
    while (!error && written < endless_bytes_cap)
    {
        written += boost::asio::write(socket, boost::asio::buffer(block), error);
    }
    return written;
}

inline std::size_t raw_connection::send_endlessly(const std::string& prefix,
                                                  const std::string& pattern)
{
    return write_endlessly(m_socket, prefix, pattern);
}

/// @brief Accepts one connection and answers with bytes that never end.
class endless_server
{
  public:
    endless_server(std::string prefix, std::string pattern)
        : m_acceptor(m_loop, {boost::asio::ip::make_address("127.0.0.1"), 0}),
          m_thread([this, prefix = std::move(prefix), pattern = std::move(pattern)]
                   { run(prefix, pattern); })
    {
    }

    ~endless_server() { join(); }
    endless_server(const endless_server&) = delete;
    endless_server& operator=(const endless_server&) = delete;

    core::address address() const
    {
        return core::address{"127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port())};
    }

    /// @brief Waits until the client has closed and returns the bytes written.
    std::size_t written()
    {
        join();
        return m_written;
    }

  private:
    void run(const std::string& prefix, const std::string& pattern)
    {
        tcp::socket socket(m_loop);
        m_acceptor.accept(socket);
        m_written = write_endlessly(socket, prefix, pattern);
    }

    void join()
    {
        if (m_thread.joinable())
            m_thread.join();
    }

    boost::asio::io_context m_loop;
    tcp::acceptor m_acceptor;
    std::size_t m_written = 0;
    std::thread m_thread;
};

} // namespace snipeplank::http::tests

#endif
