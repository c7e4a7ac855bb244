#include "answer_body.hpp"

namespace snipeplank::serving
{

namespace
{

constexpr std::size_t max_dropped_bytes = 262'144;

} // namespace

boost::asio::awaitable<core::result<void>> drop_body(http::client_connection& from)
{
    std::size_t dropped = 0;
    for (bool is_last = false; !is_last;)
    {
        const auto chunk = co_await from.read_chunk();
        if (!chunk)
            co_return boost::outcome_v2::failure(chunk.error());
        is_last = chunk.value().is_last;
        dropped += chunk.value().data.size();
        if (dropped > max_dropped_bytes)
            co_return core::fail(core::error_code::answer_truncated,
                                 "the answer to another request is too large to be dropped",
                                 "check that the server runs");
    }
    co_return boost::outcome_v2::success();
}

} // namespace snipeplank::serving
