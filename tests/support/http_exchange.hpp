/// @file
/// Small HTTP/1.1 client for tests. It reports how an answer ended, which library clients hide.

#ifndef SNIPEPLANK_TESTS_SUPPORT_HTTP_EXCHANGE_HPP
#define SNIPEPLANK_TESTS_SUPPORT_HTTP_EXCHANGE_HPP

#include <chrono>
#include <map>
#include <string>

namespace snipeplank::tests
{

/// @brief A request to send.
struct http_request
{
    std::string method = "GET";
    std::string path = "/";
    std::map<std::string, std::string> headers;
    std::string body;
    std::chrono::seconds read_timeout{30}; ///< timeout of each read
    bool keep_alive = false;               ///< keep the connection for another request
};

/// @brief How an answer ended.
enum class answer_end
{
    clean,         ///< the whole body arrived by its length or last chunk
    truncated,     ///< the connection closed before the end of the body
    silent,        ///< a read timed out
    no_connection, ///< nothing listens, or the request could not be sent
};

/// @brief How the other side closed the connection of a truncated answer.
enum class connection_close
{
    none,
    before_request, ///< it had closed before the request arrived, so it never had the request
    after_request,  ///< it closed after it had read the request
    reset,          ///< it closed with the request, or a part of it, unread
};

/// @brief The received answer.
struct http_answer
{
    int status = 0;                             ///< 0 when no complete head arrived
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string body;                           ///< without chunk framing
    answer_end end = answer_end::no_connection;
    connection_close close = connection_close::none;

    /// @brief Whether the answer is complete and has this status.
    bool is(int wanted) const { return end == answer_end::clean && status == wanted; }

    /// @brief Status, end and start of the body, for messages of failed checks.
    std::string describe() const;
};

/// @brief One request on a connection of its own.
///
/// @code
/// http_exchange call(address, {.method = "POST", .path = "/v1/completions", .body = body});
/// call.read_body(100); // at least 100 bytes have arrived
/// node.kill();
/// const http_answer answer = call.finish();
/// @endcode
class http_exchange
{
  public:
    /// @brief Connects and sends the request.
    http_exchange(const std::string& address, const http_request& request);
    ~http_exchange();
    http_exchange(const http_exchange&) = delete;
    http_exchange& operator=(const http_exchange&) = delete;

    /// @brief Reads until the body has `size` bytes or the answer ends.
    /// @return whether the bytes are there
    bool read_body(std::size_t size);

    /// @brief Status of the answer, 0 until its head has arrived.
    int status() const { return m_answer.status; }

    /// @brief Reads to the end.
    http_answer finish();

    /// @brief Whether the answer is complete and the connection can be reused. A connection that
    /// the other side has closed cannot.
    bool can_send_again() const;

    /// @brief Sends another request on the open connection.
    void send_again(const http_request& request);

    /// @brief Closes the connection, as a caller that abandons its request does.
    void close();

  private:
    enum class framing
    {
        none,
        length,
        chunked,
        until_close,
    };

    void send_request(const http_request& request);
    bool read_more();
    void parse();
    connection_close find_close(bool is_reset) const;
    bool parse_head();
    void parse_chunks();
    void end(answer_end how);

    std::string m_address;
    int m_socket = -1;
    std::chrono::seconds m_read_timeout;
    std::string m_buffer;
    http_answer m_answer;
    framing m_framing = framing::none;
    std::size_t m_length = 0;
    bool m_ended = false;
};

/// @brief Sends a request and reads the whole answer.
http_answer http_call(const std::string& address, const http_request& request);

/// @brief GET of `path`.
http_answer http_get(const std::string& address, const std::string& path);

/// @brief POST of `body` to `path`.
http_answer http_post(const std::string& address, const std::string& path, const std::string& body);

/// @brief Polls `path` until it answers with `status`.
///
/// Fails the test when that takes more than 30 s.
void wait_for_status(const std::string& address, const std::string& path, int status);

/// @brief Compares received bytes with expected ones.
/// @return an empty text when equal, otherwise the offset and the bytes that differ
std::string first_difference(const std::string& received, const std::string& expected);

} // namespace snipeplank::tests

#endif
