#include "stream_binding.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <array>
#include <cstdio>

#include "clock.hpp"

namespace snipeplank::serving
{

namespace asio = boost::asio;

namespace
{

/// How long a caller that names no timeout may take its stream up.
constexpr core::milliseconds default_lifetime{30'000};
/// A caller may take its stream up a little after its timeout, as this node sees it.
constexpr core::milliseconds lifetime_slack{1'000};

} // namespace

std::string to_hex(policy::software_version_key version)
{
    std::array<char, 2 * sizeof(std::uint32_t) + 1> text{};
    std::snprintf(text.data(), text.size(), "%08x", static_cast<unsigned>(version.get()));
    return text.data();
}

const std::string& first_attempt_of(const caller_request& request)
{
    const bool names_other = !request.last_event_id.empty() && !request.resumes.empty();
    return names_other ? request.resumes : request.id;
}

void stream_binding::set_request(const caller_request& request, const route& chosen,
                                 const core::service_id& service)
{
    m_is_take_up = chosen.kind == request_kind::streaming && !request.last_event_id.empty();
    if (!m_is_take_up || !request.resumes.empty())
        m_first_attempt = first_attempt_of(request);
    m_taken_up.service = service;
    if (!m_first_attempt.empty())
        m_taken_up.stream = policy::stream_key_of(m_first_attempt);
    m_lifetime = request.timeout.value_or(default_lifetime) + lifetime_slack;
}

asio::awaitable<bool> stream_binding::find(asio::io_context& loop)
{
    if (!m_is_take_up || is_bound())
        co_return true;
    m_found = m_directory.find(m_taken_up, now());
    if (m_found.source != origin_source::unknown)
        m_directory.count(m_found);
    else
    {
        const auto question = m_directory.ask(m_taken_up, now());
        asio::steady_timer timer(loop,
                                 question->asks_far() ? max_origin_wait : max_local_origin_wait);
        question->on_settled([&timer] { timer.cancel(); });
        boost::system::error_code ignored;
        if (!question->is_settled())
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        question->on_settled(nullptr);
        m_found = m_directory.conclude(*question, now());
    }
    bind(m_found.version);
    co_return is_bound();
}

void stream_binding::bind(policy::software_version_key version)
{
    if (!is_bound())
        m_required = version;
}

bool stream_binding::allows(policy::software_version_key version) const
{
    return !is_bound() || version == m_required;
}

bool stream_binding::set_attempt(policy::software_version_key version)
{
    m_attempt = version;
    return allows(version);
}

void stream_binding::record(core::time_point received) const
{
    if (!is_bound())
        return;
    const core::time_point time = now();
    const auto elapsed = std::chrono::duration_cast<core::milliseconds>(time - received);
    m_directory.on_begun(m_taken_up, m_required, m_lifetime - elapsed, time);
}

std::string stream_binding::describe() const
{
    if (!m_is_take_up)
        return {};
    std::string text = m_first_attempt.empty() ? "not_named" : m_first_attempt;
    text += " version=" + (is_bound() ? to_hex(m_required) : std::string("unknown"));
    const bool is_bound_before = is_bound() && m_found.source == origin_source::unknown;
    text += " by=" + std::string(is_bound_before ? "entry_node" : to_string(m_found.source));
    if (m_found.asked > 0)
        text += " asked=" + std::to_string(m_found.asked) +
                " answered=" + std::to_string(m_found.answered);
    return text;
}

} // namespace snipeplank::serving
