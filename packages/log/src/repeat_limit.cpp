#include <snipeplank/log/repeat_limit.hpp>

#include <utility>

namespace snipeplank::log
{

std::optional<std::uint64_t> repeat_limit::admit(std::string_view cause, core::time_point now)
{
    usage& used = m_causes[std::string(cause)];
    if (used.lines == 0 || now - used.begin >= interval)
    {
        used.begin = now;
        used.lines = 0;
    }
    if (used.lines == max_lines)
    {
        ++used.left_out;
        ++m_left_out;
        return std::nullopt;
    }
    ++used.lines;
    return std::exchange(used.left_out, 0);
}

void repeat_limit::report(const std::function<void(const std::string&, std::uint64_t)>& tell)
{
    for (auto& [cause, used] : m_causes)
    {
        if (used.left_out > 0)
            tell(cause, std::exchange(used.left_out, 0));
    }
}

} // namespace snipeplank::log
