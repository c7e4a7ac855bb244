#include <snipeplank/fleet/region_table.hpp>

#include <algorithm>
#include <utility>

namespace snipeplank::fleet
{

namespace
{

constexpr unsigned max_sends = 5;

bool is_newer_sequence(std::uint32_t a, std::uint32_t b)
{
    return static_cast<std::int32_t>(a - b) > 0;
}

} // namespace

void region_table::merge(const region_summary& received, core::time_point now)
{
    const core::time_point computed_at = now - core::milliseconds{received.age_ms};
    if (now - computed_at >= summary_lifetime)
        return;
    const auto known = m_entries.find(received.region);
    if (known != m_entries.end())
    {
        const region_summary& held = known->second.summary;
        const bool newer = held.issuer == received.issuer
                               ? is_newer_sequence(received.sequence, held.sequence)
                               : computed_at > known->second.computed_at;
        if (!newer)
            return;
    }
    m_entries[received.region] = {received, computed_at, 0, 0};
}

void region_table::expire(core::time_point now)
{
    std::erase_if(m_entries, [now](const auto& item)
                  { return now - item.second.computed_at >= summary_lifetime; });
}

region_summary region_table::with_current_age(const entry& held, core::time_point now)
{
    region_summary copy = held.summary;
    const auto age = std::chrono::duration_cast<core::milliseconds>(now - held.computed_at).count();
    copy.age_ms = static_cast<std::uint32_t>(std::max<std::int64_t>(age, 0));
    return copy;
}

std::optional<region_summary> region_table::summary_of(const core::region_id& region,
                                                       core::time_point now) const
{
    const auto known = m_entries.find(region);
    if (known == m_entries.end() || now - known->second.computed_at >= summary_lifetime)
        return std::nullopt;
    return with_current_age(known->second, now);
}

std::vector<region_summary> region_table::summaries(core::time_point now) const
{
    std::vector<region_summary> valid;
    for (const auto& [region, held] : m_entries)
    {
        if (now - held.computed_at < summary_lifetime)
            valid.push_back(with_current_age(held, now));
    }
    return valid;
}

std::vector<region_summary> region_table::take(std::size_t budget, std::size_t first_budget,
                                               core::time_point now)
{
    std::vector<entry*> candidates;
    for (auto& [region, held] : m_entries)
    {
        if (held.sent < max_sends && now - held.computed_at < summary_lifetime)
            candidates.push_back(&held);
    }
    return pick(std::move(candidates), &entry::sent, budget, first_budget, now);
}

std::vector<region_summary> region_table::take_for_exchange(std::size_t budget,
                                                            const core::region_id& except,
                                                            core::time_point now)
{
    std::vector<entry*> candidates;
    for (auto& [region, held] : m_entries)
    {
        if (region != except && now - held.computed_at < summary_lifetime)
            candidates.push_back(&held);
    }
    return pick(std::move(candidates), &entry::exchanged, budget, budget, now);
}

std::vector<region_summary> region_table::pick(std::vector<entry*> from, unsigned entry::*count,
                                               std::size_t budget, std::size_t first_budget,
                                               core::time_point now)
{
    std::sort(from.begin(), from.end(),
              [count](const entry* a, const entry* b) {
                  return a->*count != b->*count ? a->*count < b->*count
                                                : a->computed_at > b->computed_at;
              });
    std::vector<region_summary> taken;
    for (entry* held : from)
    {
        const std::size_t size = estimated_size(held->summary);
        const std::size_t limit = taken.empty() ? std::max(budget, first_budget) : budget;
        if (size > limit)
            break;
        budget -= std::min(size, budget);
        ++(held->*count);
        taken.push_back(with_current_age(*held, now));
    }
    return taken;
}

} // namespace snipeplank::fleet
