#include <snipeplank/policy/call_path.hpp>

#include <algorithm>

namespace snipeplank::policy
{

namespace
{

constexpr std::size_t max_name_length = 64;

bool is_name(std::string_view text)
{
    const auto is_allowed = [](unsigned char c)
    {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
               c == '-' || c == '_' || c == '.' || c == ':' || c == '[' || c == ']';
    };
    return !text.empty() && text.size() <= max_name_length &&
           std::all_of(text.begin(), text.end(), is_allowed);
}

std::optional<path_hop> parse_hop(std::string_view text)
{
    const auto first = text.find('/');
    if (first == std::string_view::npos)
        return std::nullopt;
    const auto second = text.find('/', first + 1);
    if (second == std::string_view::npos)
        return std::nullopt;
    const std::string_view region = text.substr(0, first);
    const std::string_view zone = text.substr(first + 1, second - first - 1);
    const std::string_view node = text.substr(second + 1);
    if (!is_name(region) || !is_name(zone) || !is_name(node))
        return std::nullopt;
    return path_hop{core::region_id{std::string(region)}, core::zone_id{std::string(zone)},
                    core::address{std::string(node)}};
}

} // namespace

std::optional<call_path> call_path::parse(std::string_view text)
{
    call_path path;
    if (text.empty())
        return path;
    while (true)
    {
        const auto end = text.find('>');
        const std::optional<path_hop> hop = parse_hop(text.substr(0, end));
        if (!hop || !path.may_add(*hop))
            return std::nullopt;
        path.m_hops.push_back(*hop);
        if (end == std::string_view::npos)
            return path;
        text.remove_prefix(end + 1);
    }
}

std::string call_path::to_string() const
{
    std::string text;
    for (const path_hop& hop : m_hops)
    {
        if (!text.empty())
            text += '>';
        text += hop.region.get() + '/' + hop.zone.get() + '/' + hop.node.get();
    }
    return text;
}

call_path call_path::with(const path_hop& hop) const
{
    call_path longer = *this;
    longer.m_hops.push_back(hop);
    return longer;
}

bool call_path::may_add(const path_hop& hop) const
{
    const auto is_same_node = [&](const path_hop& former) { return former.node == hop.node; };
    if (std::any_of(m_hops.begin(), m_hops.end(), is_same_node))
        return false;
    return may_enter(hop.region, hop.zone);
}

bool call_path::may_enter(const core::region_id& region, const core::zone_id& zone) const
{
    if (m_hops.size() >= max_hops)
        return false;
    if (m_hops.empty())
        return true;
    const path_hop& last = m_hops.back();
    if (last.region != region && has_left_region())
        return false;
    if (last.region == region && last.zone == zone)
        return true;
    // Zones of different regions may share a name, so both are compared.
    const auto is_same_zone = [&](const path_hop& former)
    { return former.region == region && former.zone == zone; };
    return std::none_of(m_hops.begin(), m_hops.end(), is_same_zone);
}

bool call_path::has_left_region() const
{
    return !m_hops.empty() && m_hops.front().region != m_hops.back().region;
}

bool is_plausible(const call_path& path, const path_hop& sender, const path_hop& self)
{
    return !path.empty() && path.hops().back() == sender && path.may_add(self);
}

} // namespace snipeplank::policy
