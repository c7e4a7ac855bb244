#include <snipeplank/http/event_stream.hpp>

#include <algorithm>
#include <utility>

namespace snipeplank::http
{

namespace
{

constexpr std::string_view event_end = "\n\n";
constexpr std::string_view event_end_crlf = "\r\n\r\n";

/// Position after the end of the first complete event that starts at `from`, or npos.
std::size_t end_of_event(std::string_view text, std::size_t from)
{
    const std::size_t lf = text.find(event_end, from);
    const std::size_t crlf = text.find(event_end_crlf, from);
    if (lf == std::string_view::npos && crlf == std::string_view::npos)
        return std::string_view::npos;
    if (crlf < lf)
        return crlf + event_end_crlf.size();
    return lf + event_end.size();
}

std::string_view value_after_name(std::string_view line, std::string_view name)
{
    std::string_view value = line.substr(name.size());
    if (!value.empty() && value.front() == ' ')
        value.remove_prefix(1);
    return value;
}

} // namespace

std::string event_splitter::feed(std::string_view bytes)
{
    m_pending.append(bytes);
    std::size_t consumed = 0;
    for (std::size_t end = end_of_event(m_pending, m_searched); end != std::string::npos;
         end = end_of_event(m_pending, consumed))
    {
        parse_event(std::string_view(m_pending).substr(consumed, end - consumed));
        consumed = end;
    }
    std::string whole = m_starts_over ? std::string() : m_pending.substr(0, consumed);
    m_pending.erase(0, consumed);
    // The last bytes may be the first part of the line ends that terminate an event.
    constexpr std::size_t longest_partial_end = event_end_crlf.size() - 1;
    m_searched = m_pending.size() - std::min(m_pending.size(), longest_partial_end);
    return whole;
}

std::string event_splitter::take_line_ends()
{
    if (m_pending.find_first_not_of("\r\n") != std::string::npos)
        return {};
    m_searched = 0;
    return std::exchange(m_pending, {});
}

void event_splitter::parse_event(std::string_view event)
{
    while (!event.empty())
    {
        const std::string_view line = event.substr(0, event.find_first_of("\r\n"));
        event.remove_prefix(std::min(event.size(), line.size() + 1));
        if (line.starts_with("id:"))
            record_id(value_after_name(line, "id:"));
        if (line.starts_with("data:") && value_after_name(line, "data:") == "[DONE]")
            m_is_done = true;
    }
}

void event_splitter::record_id(std::string_view id)
{
    if (m_first_event_id.empty())
        m_first_event_id = id;
    else if (m_is_resumed && id == m_first_event_id)
        m_starts_over = true;
    m_last_event_id = id;
}

} // namespace snipeplank::http
