#include <snipeplank/fleet/load_table.hpp>

#include <algorithm>
#include <limits>

namespace snipeplank::fleet
{

namespace
{

/// Pings and acks each second reach a region of 38 nodes well before this many sends.
constexpr unsigned max_load_sends = 6;
/// Leaving facts are few and affect every request, so they are sent more often.
constexpr unsigned max_leaving_sends = 20;
constexpr std::uint32_t ms_in_centis = 10;

std::uint16_t saturate(std::uint64_t value)
{
    constexpr std::uint64_t max_value = std::numeric_limits<std::uint16_t>::max();
    return static_cast<std::uint16_t>(std::min(value, max_value));
}

std::uint64_t age_in_ms(core::time_point since, core::time_point now)
{
    const auto age = std::chrono::duration_cast<core::milliseconds>(now - since).count();
    return static_cast<std::uint64_t>(std::max<std::int64_t>(age, 0));
}

/// Serial number arithmetic: a sequence that has wrapped around still counts as newer.
bool is_newer_sequence(std::uint32_t a, std::uint32_t b)
{
    return static_cast<std::int32_t>(a - b) > 0;
}

} // namespace

void load_table::report(std::uint64_t upstream, std::uint32_t prober, const load_sample& sample,
                        core::time_point now)
{
    constexpr double permille = 1'000;
    const double cache = std::clamp(sample.cache_used, 0.0, 1.0) * permille;
    upstream_load report;
    report.upstream_key = upstream;
    report.prober = prober;
    report.sequence = ++m_sequence;
    report.running = saturate(sample.running);
    report.waiting = saturate(sample.waiting);
    report.cache_permille = static_cast<std::uint16_t>(cache);
    load_entry& entry = m_loads[upstream];
    entry.report = report;
    entry.sampled_at = now;
    const bool due = now - entry.gossiped_sampled_at >= load_report_interval;
    if (!due && entry.gossiped.prober == prober)
        return;
    entry.gossiped = report;
    entry.gossiped_sampled_at = now;
    entry.sent = 0;
}

void load_table::merge(const upstream_load& received, core::time_point now)
{
    const core::time_point sampled_at =
        now - core::milliseconds{received.age_centis * ms_in_centis};
    if (now - sampled_at >= load_lifetime)
        return;
    const auto known = m_loads.find(received.upstream_key);
    if (known != m_loads.end())
    {
        const upstream_load& held = known->second.report;
        const bool newer = held.prober == received.prober
                               ? is_newer_sequence(received.sequence, held.sequence)
                               : sampled_at > known->second.sampled_at;
        if (!newer)
            return;
    }
    m_loads[received.upstream_key] = {received, sampled_at, received, sampled_at, 0};
}

bool load_table::report_leaving(std::uint64_t upstream, core::time_point now)
{
    const auto [entry, inserted] = m_leaving.try_emplace(upstream, leaving_entry{now, 0});
    if (inserted)
        return true;
    if (now - entry->second.reported_at >= leaving_renewal_interval)
        entry->second = {now, 0};
    return false;
}

bool load_table::merge_leaving(const upstream_leaving& received, core::time_point now)
{
    const core::time_point reported_at = now - core::milliseconds{received.age_ms};
    if (now - reported_at >= leaving_lifetime)
        return false;
    const auto [entry, inserted] =
        m_leaving.try_emplace(received.upstream_key, leaving_entry{reported_at, 0});
    if (inserted)
        return true;
    if (reported_at - entry->second.reported_at >= leaving_renewal_interval)
        entry->second = {reported_at, 0};
    return false;
}

void load_table::expire(core::time_point now)
{
    std::erase_if(m_loads, [now](const auto& entry)
                  { return now - entry.second.sampled_at >= load_lifetime; });
    std::erase_if(m_leaving, [now](const auto& entry)
                  { return now - entry.second.reported_at >= leaving_lifetime; });
}

std::optional<load_sample> load_table::load_of(std::uint64_t upstream, core::time_point now) const
{
    constexpr double permille = 1'000;
    const auto known = m_loads.find(upstream);
    if (known == m_loads.end() || now - known->second.sampled_at >= load_lifetime)
        return std::nullopt;
    const upstream_load& held = known->second.report;
    return load_sample{held.running, held.waiting, held.cache_permille / permille};
}

std::optional<core::time_point> load_table::sampled_at(std::uint64_t upstream,
                                                       core::time_point now) const
{
    const auto known = m_loads.find(upstream);
    if (known == m_loads.end() || now - known->second.sampled_at >= load_lifetime)
        return std::nullopt;
    return known->second.sampled_at;
}

bool load_table::is_leaving(std::uint64_t upstream, core::time_point now) const
{
    const auto known = m_leaving.find(upstream);
    return known != m_leaving.end() && now - known->second.reported_at < leaving_lifetime;
}

std::vector<std::uint64_t> load_table::leaving(core::time_point now) const
{
    std::vector<std::uint64_t> keys;
    for (const auto& [key, entry] : m_leaving)
    {
        if (now - entry.reported_at < leaving_lifetime)
            keys.push_back(key);
    }
    return keys;
}

std::size_t load_table::valid_reports(core::time_point now) const
{
    return static_cast<std::size_t>(std::count_if(
        m_loads.begin(), m_loads.end(),
        [now](const auto& entry) { return now - entry.second.sampled_at < load_lifetime; }));
}

std::vector<upstream_load> load_table::take_loads(std::size_t budget, core::time_point now)
{
    std::vector<load_entry*> order;
    for (auto& [key, entry] : m_loads)
    {
        if (entry.sent < max_load_sends && now - entry.gossiped_sampled_at < load_lifetime)
            order.push_back(&entry);
    }
    const std::size_t count = std::min(order.size(), budget / estimated_size(upstream_load{}));
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count),
                      order.end(),
                      [](const load_entry* a, const load_entry* b)
                      {
                          return a->sent != b->sent
                                     ? a->sent < b->sent
                                     : a->gossiped_sampled_at > b->gossiped_sampled_at;
                      });
    std::vector<upstream_load> taken;
    for (std::size_t i = 0; i < count; ++i)
    {
        ++order[i]->sent;
        taken.push_back(order[i]->gossiped);
        const core::time_point sampled_at = order[i]->gossiped_sampled_at;
        taken.back().age_centis = saturate(age_in_ms(sampled_at, now) / ms_in_centis);
    }
    return taken;
}

std::vector<upstream_leaving> load_table::take_leaving(std::size_t budget, core::time_point now)
{
    std::vector<std::pair<std::uint64_t, leaving_entry*>> order;
    for (auto& [key, entry] : m_leaving)
    {
        if (entry.sent < max_leaving_sends && now - entry.reported_at < leaving_lifetime)
            order.emplace_back(key, &entry);
    }
    std::sort(order.begin(), order.end(),
              [](const auto& a, const auto& b)
              {
                  return a.second->sent != b.second->sent
                             ? a.second->sent < b.second->sent
                             : a.second->reported_at > b.second->reported_at;
              });
    const std::size_t count = std::min(order.size(), budget / estimated_size(upstream_leaving{}));
    std::vector<upstream_leaving> taken;
    for (std::size_t i = 0; i < count; ++i)
    {
        leaving_entry& entry = *order[i].second;
        ++entry.sent;
        const auto age = static_cast<std::uint32_t>(age_in_ms(entry.reported_at, now));
        taken.push_back({order[i].first, age});
    }
    return taken;
}

} // namespace snipeplank::fleet
