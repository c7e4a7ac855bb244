#include "http_exchange.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <sstream>
#include <thread>

#include "fail_test.hpp"

namespace snipeplank::tests
{
namespace
{

const std::string line_end = "\r\n";
const std::string head_end = "\r\n\r\n";

int connect_to(const std::string& where)
{
    const auto colon = where.rfind(':');
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(where.substr(colon + 1))));
    ::inet_pton(AF_INET, where.substr(0, colon).c_str(), &address.sin_addr);
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (::connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0)
    {
        ::close(socket);
        return -1;
    }
    return socket;
}

std::string lower_case(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

/// Whether bytes, an end or an error wait at the socket.
bool is_readable(int socket)
{
    pollfd entry{socket, POLLIN, 0};
    return ::poll(&entry, 1, 0) > 0;
}

bool has_no_body(int status)
{
    return status == 204 || status == 304;
}

} // namespace

std::string http_answer::describe() const
{
    static const char* const ends[] = {"clean", "truncated", "silent", "no connection"};
    static const char* const closes[] = {"", " before the request", " after the request",
                                         " by a reset"};
    constexpr std::size_t max_shown = 400;
    return "status " + std::to_string(status) + ", end " + ends[static_cast<int>(end)] +
           closes[static_cast<int>(close)] + ", " + std::to_string(body.size()) +
           " bytes: " + body.substr(0, max_shown);
}

http_exchange::http_exchange(const std::string& address, const http_request& request)
    : m_address(address), m_read_timeout(request.read_timeout)
{
    m_socket = connect_to(address);
    send_request(request);
}

http_exchange::~http_exchange()
{
    close();
}

bool http_exchange::can_send_again() const
{
    const auto connection = m_answer.headers.find("connection");
    return m_ended && m_answer.end == answer_end::clean && m_framing != framing::until_close &&
           (connection == m_answer.headers.end() || connection->second != "close") &&
           !is_readable(m_socket);
}

void http_exchange::send_again(const http_request& request)
{
    m_answer = {};
    m_framing = framing::none;
    m_ended = false;
    m_buffer.clear();
    send_request(request);
}

void http_exchange::send_request(const http_request& request)
{
    std::ostringstream text;
    text << request.method << " " << request.path << " HTTP/1.1\r\n";
    if (!request.keep_alive)
    {
        text << "Connection: close\r\n";
    }
    if (!request.headers.contains("Host"))
    {
        text << "Host: " << m_address << "\r\n";
    }
    for (const auto& [name, value] : request.headers)
    {
        text << name << ": " << value << "\r\n";
    }
    if (!request.body.empty() || request.method != "GET")
    {
        text << "Content-Length: " << request.body.size() << "\r\n";
    }
    text << "\r\n" << request.body;
    const std::string bytes = text.str();
    std::size_t sent = 0;
    while (m_socket >= 0 && sent < bytes.size())
    {
        const ssize_t count =
            ::send(m_socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
        {
            break; // The server may refuse the request before the whole body is sent.
        }
        sent += static_cast<std::size_t>(count);
    }
    if (m_socket < 0)
    {
        end(answer_end::no_connection);
    }
}

bool http_exchange::read_body(std::size_t size)
{
    while (!m_ended && m_answer.body.size() < size)
    {
        read_more();
    }
    return m_answer.body.size() >= size;
}

http_answer http_exchange::finish()
{
    while (!m_ended)
    {
        read_more();
    }
    return m_answer;
}

void http_exchange::close()
{
    if (m_socket >= 0)
    {
        ::close(m_socket);
        m_socket = -1;
    }
    if (!m_ended)
    {
        end(answer_end::truncated);
    }
}

bool http_exchange::read_more()
{
    const auto limit =
        std::chrono::duration_cast<std::chrono::milliseconds>(m_read_timeout).count();
    pollfd entry{m_socket, POLLIN, 0};
    if (::poll(&entry, 1, static_cast<int>(limit)) <= 0)
    {
        end(answer_end::silent);
        return false;
    }
    std::array<char, 16'384> bytes;
    const ssize_t count = ::recv(m_socket, bytes.data(), bytes.size(), 0);
    if (count <= 0)
    {
        const bool body_ends_here = count == 0 && m_framing == framing::until_close;
        m_answer.close = find_close(count < 0);
        end(body_ends_here ? answer_end::clean : answer_end::truncated);
        return false;
    }
    m_buffer.append(bytes.data(), static_cast<std::size_t>(count));
    parse();
    return true;
}

/// A socket that was closed before the request arrived answers the request with a reset, which the
/// kernel reports as EPIPE. A reset that comes before the end of the stream (ECONNRESET) means that
/// the socket was closed with unread bytes.
connection_close http_exchange::find_close(bool is_reset) const
{
    if (is_reset)
        return connection_close::reset;
    constexpr std::chrono::milliseconds time_of_a_reset{5};
    std::this_thread::sleep_for(time_of_a_reset);
    int error = 0;
    socklen_t size = sizeof(error);
    ::getsockopt(m_socket, SOL_SOCKET, SO_ERROR, &error, &size);
    return error == 0 ? connection_close::after_request : connection_close::before_request;
}

void http_exchange::parse()
{
    if (m_framing == framing::none && !parse_head())
    {
        return;
    }
    if (m_framing == framing::chunked)
    {
        parse_chunks();
        return;
    }
    m_answer.body += m_buffer;
    m_buffer.clear();
    if (m_framing == framing::length && m_answer.body.size() >= m_length)
    {
        // Bytes beyond the content length would belong to another caller's answer.
        end(m_answer.body.size() == m_length ? answer_end::clean : answer_end::truncated);
    }
}

bool http_exchange::parse_head()
{
    const auto size = m_buffer.find(head_end);
    if (size == std::string::npos)
    {
        return false;
    }
    std::istringstream head(m_buffer.substr(0, size));
    m_buffer.erase(0, size + head_end.size());
    std::string version;
    head >> version >> m_answer.status;
    constexpr int first_final_status = 200;
    if (m_answer.status < first_final_status)
    {
        m_answer.status = 0;
        return parse_head();
    }
    std::string line;
    std::getline(head, line);
    while (std::getline(head, line))
    {
        const auto colon = line.find(':');
        const auto value = line.find_first_not_of(' ', colon + 1);
        const auto last = line.find_last_not_of("\r ");
        m_answer.headers[lower_case(line.substr(0, colon))] =
            value == std::string::npos ? "" : line.substr(value, last + 1 - value);
    }
    m_framing = framing::until_close;
    if (m_answer.headers.contains("content-length"))
    {
        m_framing = framing::length;
        m_length = std::stoull(m_answer.headers["content-length"]);
    }
    if (lower_case(m_answer.headers["transfer-encoding"]) == "chunked")
    {
        m_framing = framing::chunked;
    }
    if (has_no_body(m_answer.status))
    {
        m_framing = framing::length;
        m_length = 0;
    }
    return true;
}

void http_exchange::parse_chunks()
{
    constexpr int hexadecimal = 16;
    while (!m_ended)
    {
        const auto size_end = m_buffer.find(line_end);
        if (size_end == std::string::npos)
        {
            return;
        }
        const std::size_t size = std::stoull(m_buffer.substr(0, size_end), nullptr, hexadecimal);
        const std::size_t start = size_end + line_end.size();
        if (m_buffer.size() < start + size + line_end.size())
        {
            return;
        }
        m_answer.body += m_buffer.substr(start, size);
        m_buffer.erase(0, start + size + line_end.size());
        if (size == 0)
        {
            end(answer_end::clean);
        }
    }
}

void http_exchange::end(answer_end how)
{
    m_answer.end = how;
    m_ended = true;
}

http_answer http_call(const std::string& address, const http_request& request)
{
    return http_exchange(address, request).finish();
}

http_answer http_get(const std::string& address, const std::string& path)
{
    return http_call(address, {.method = "GET", .path = path, .headers = {}, .body = {}});
}

http_answer http_post(const std::string& address, const std::string& path, const std::string& body)
{
    return http_call(address, {.method = "POST",
                               .path = path,
                               .headers = {{"Content-Type", "application/json"}},
                               .body = body});
}

void wait_for_status(const std::string& address, const std::string& path, int status)
{
    constexpr int attempts = 600;
    constexpr std::chrono::milliseconds pause{50};
    http_answer last;
    for (int attempt = 0; attempt < attempts; ++attempt)
    {
        last = http_get(address, path);
        if (last.is(status))
        {
            return;
        }
        std::this_thread::sleep_for(pause);
    }
    fail_test(address + path + " never answered " + std::to_string(status) +
              "; last: " + last.describe());
}

std::string first_difference(const std::string& received, const std::string& expected)
{
    if (received == expected)
    {
        return "";
    }
    const auto [a, b] =
        std::mismatch(received.begin(), received.end(), expected.begin(), expected.end());
    const auto offset = static_cast<std::size_t>(a - received.begin());
    constexpr std::size_t max_shown = 60;
    return "differ at byte " + std::to_string(offset) + " of " + std::to_string(expected.size()) +
           ": received '" + received.substr(offset, max_shown) + "', expected '" +
           expected.substr(offset, max_shown) + "'";
}

} // namespace snipeplank::tests
