#include "request_framing.hpp"

#include <boost/asio/buffer.hpp>

#include <limits>

namespace snipeplank::gateway
{

namespace http = boost::beast::http;

request_framing::request_framing(std::uint64_t max_body) : m_max_body(max_body)
{
    start_request();
}

void request_framing::start_request()
{
    m_parser = std::make_unique<framing_parser<true>>();
    m_parser->header_limit(max_head_bytes);
    m_parser->body_limit(std::numeric_limits<std::uint64_t>::max());
    m_parser->eager(true);
}

bool request_framing::add(std::string_view bytes)
{
    if (m_is_malformed)
    {
        m_after_malformed += bytes.size();
        return !m_is_too_large && m_after_malformed <= max_pending_bytes;
    }
    m_pending += bytes;
    parse();
    return !m_is_too_large;
}

void request_framing::parse()
{
    while (!m_is_too_large && !m_is_malformed && !m_pending.empty())
    {
        boost::system::error_code error;
        const std::size_t used =
            m_parser->put(boost::asio::buffer(m_pending.data(), m_pending.size()), error);
        m_pending.erase(0, used);
        const bool needs_more = error == http::error::need_more;
        m_is_too_large = error == http::error::header_limit ||
                         m_parser->body_bytes() > m_max_body ||
                         m_pending.size() > max_pending_bytes;
        m_is_malformed = error && !needs_more && !m_is_too_large;
        if (m_parser->is_done())
            start_request();
        else if (needs_more || used == 0)
            break;
    }
    if (m_is_malformed)
        m_pending.clear();
}

} // namespace snipeplank::gateway
