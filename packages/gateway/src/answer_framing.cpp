#include <snipeplank/gateway/answer_framing.hpp>

#include <boost/asio/buffer.hpp>

#include "framing_parser.hpp"

namespace snipeplank::gateway
{

namespace
{

namespace http = boost::beast::http;
using boost::system::error_code;

constexpr int first_final_status = 200;
/// Interim answers before the final one; a sound server sends one or two.
constexpr unsigned max_interim_answers = 16;

} // namespace

class answer_framing::parser final : public framing_parser<false>
{
  public:
    bool is_interim() const { return status() < first_final_status; }
};

answer_framing::answer_framing(bool is_head_answer, std::uint64_t max_body)
    : m_is_head_answer(is_head_answer), m_max_body(max_body)
{
    start_answer();
}

answer_framing::~answer_framing() = default;

void answer_framing::start_answer()
{
    m_parser = std::make_unique<parser>();
    m_parser->header_limit(max_head_bytes);
    m_parser->body_limit(m_max_body);
    m_parser->skip(m_is_head_answer);
    m_parser->eager(true);
}

void answer_framing::on_interim_answer()
{
    m_is_broken = m_is_broken || ++m_interim_answers > max_interim_answers;
    start_answer();
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
            on_interim_answer();
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
