#include <snipeplank/http/fetch.hpp>

#include <algorithm>
#include <chrono>

namespace snipeplank::http
{

namespace asio = boost::asio;

namespace
{

// Not inlined into the coroutine: GCC 12 destroys some braced temporaries twice in coroutines.
core::result<void> send_get(client_connection& connection, const request_target& target)
{
    static const std::string no_body;
    return connection.send({"GET", target.text(), {{"Host", connection.server().get()}}}, no_body);
}

core::error answer_too_large(const core::address& server, std::size_t max_bytes)
{
    return {core::error_code::answer_too_large,
            "the answer of " + server.get() + " exceeds " + std::to_string(max_bytes) + " bytes",
            "check that the server runs"};
}

} // namespace

asio::awaitable<core::result<response_head>>
fetch_head(client_connection& connection, const request_target& target, core::milliseconds limit)
{
    connection.expire_after(limit);
    if (const auto sent = send_get(connection, target); !sent)
        co_return boost::outcome_v2::failure(sent.error());
    co_return co_await connection.read_head();
}

asio::awaitable<core::result<std::string>> fetch_body(client_connection& connection,
                                                      body_limits limits)
{
    const core::time_point end = std::chrono::steady_clock::now() + limits.total;
    std::string body;
    bool is_last = false;
    while (!is_last)
    {
        const auto left = std::chrono::ceil<core::milliseconds>(
            std::max(end - std::chrono::steady_clock::now(), core::duration{0}));
        connection.expire_after(std::min(limits.progress, left));
        auto chunk = co_await connection.read_chunk();
        if (!chunk)
            co_return boost::outcome_v2::failure(chunk.error());
        if (body.size() + chunk.value().data.size() > limits.bytes)
            co_return boost::outcome_v2::failure(
                answer_too_large(connection.server(), limits.bytes));
        body += chunk.value().data;
        is_last = chunk.value().is_last;
    }
    connection.stop_timer();
    co_return body;
}

} // namespace snipeplank::http
