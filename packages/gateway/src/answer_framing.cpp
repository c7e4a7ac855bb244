#include "answer_framing.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include <cstdint>
#include <limits>

namespace snipeplank::gateway
{

namespace
{

namespace http = boost::beast::http;
using boost::system::error_code;
using text = boost::beast::string_view;

constexpr int first_final_status = 200;
constexpr std::uint32_t max_head_bytes = 131'072;
/// Largest part of an answer that is parsed as a unit: the head, a chunk header or the trailers.
constexpr std::size_t max_pending_bytes = max_head_bytes;

} // namespace

/// Parses the framing and keeps nothing but the status.
class answer_framing::parser final : public http::basic_parser<false>
{
  public:
    bool is_interim() const { return m_status < first_final_status; }

  private:
    void on_request_impl(http::verb, text, text, int, error_code&) override {}

    void on_response_impl(int status, text, int, error_code&) override { m_status = status; }

    void on_field_impl(http::field name, text, text value, error_code& error) override
    {
        if (name == http::field::transfer_encoding && !boost::beast::iequals(value, "chunked"))
            error = http::error::bad_transfer_encoding;
    }

    void on_header_impl(error_code&) override {}
    void on_body_init_impl(const boost::optional<std::uint64_t>&, error_code&) override {}

    std::size_t on_body_impl(text body, error_code&) override { return body.size(); }

    void on_chunk_header_impl(std::uint64_t, text, error_code&) override {}

    std::size_t on_chunk_body_impl(std::uint64_t, text body, error_code&) override
    {
        return body.size();
    }

    void on_finish_impl(error_code&) override {}

    int m_status = 0;
};

answer_framing::answer_framing(bool is_head_answer) : m_is_head_answer(is_head_answer)
{
    start_answer();
}

answer_framing::~answer_framing() = default;

void answer_framing::start_answer()
{
    m_parser = std::make_unique<parser>();
    m_parser->header_limit(max_head_bytes);
    m_parser->body_limit(std::numeric_limits<std::uint64_t>::max());
    m_parser->skip(m_is_head_answer);
    m_parser->eager(true);
}

bool answer_framing::add(std::string_view bytes)
{
    m_pending += bytes;
    while (!m_is_broken && !m_pending.empty() && !is_whole())
    {
        error_code error;
        const std::size_t used =
            m_parser->put(boost::asio::buffer(m_pending.data(), m_pending.size()), error);
        m_pending.erase(0, used);
        const bool needs_more = error == http::error::need_more;
        m_is_broken = (error && !needs_more) || m_pending.size() > max_pending_bytes;
        if (m_parser->is_done() && m_parser->is_interim())
            start_answer();
        else if (needs_more || used == 0)
            break;
    }
    return !m_is_broken;
}

bool answer_framing::is_whole() const
{
    return !m_is_broken && m_parser->is_done() && !m_parser->need_eof();
}

bool answer_framing::is_cut() const
{
    const bool ends_with_connection = m_parser->is_header_done() && m_parser->need_eof();
    return m_is_broken || !(m_parser->is_done() || ends_with_connection);
}

} // namespace snipeplank::gateway
