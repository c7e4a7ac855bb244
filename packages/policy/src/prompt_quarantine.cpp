#include <snipeplank/policy/prompt_quarantine.hpp>

#include <algorithm>
#include <chrono>

namespace snipeplank::policy
{

namespace
{

/// Two reports of a crash of the same upstream within this time are about the same crash. Times of
/// other nodes are known only up to the delay of their messages.
constexpr core::seconds same_crash_time{2};

bool is_same_crash(const prompt_crash& a, const prompt_crash& b)
{
    return a.upstream == b.upstream && a.at < b.at + same_crash_time &&
           b.at < a.at + same_crash_time;
}

/// Whether the request of one of the crashes was sent after another one of them.
bool has_successive_crashes(const std::vector<prompt_crash>& crashes)
{
    const auto first = std::min_element(crashes.begin(), crashes.end(),
                                        [](const auto& a, const auto& b) { return a.at < b.at; });
    return std::any_of(crashes.begin(), crashes.end(),
                       [&](const prompt_crash& each) { return each.sent > first->at; });
}

/// The crashes of the first list that are not in the second one.
std::vector<prompt_crash> without(const std::vector<prompt_crash>& crashes,
                                  const std::vector<prompt_crash>& others)
{
    std::vector<prompt_crash> rest;
    for (const prompt_crash& each : crashes)
    {
        const bool is_shared =
            std::any_of(others.begin(), others.end(),
                        [&](const prompt_crash& other) { return is_same_crash(each, other); });
        if (!is_shared)
            rest.push_back(each);
    }
    return rest;
}

} // namespace

void prompt_quarantine::add(const prompt_crash& crash, core::time_point now)
{
    part_state& part = m_parts[crash.part];
    part.suspected_at = std::max(part.suspected_at, crash.at);
    std::erase_if(part.crashes,
                  [&](const prompt_crash& known) { return now - known.at >= crash_lifetime; });
    const bool is_known =
        std::any_of(part.crashes.begin(), part.crashes.end(),
                    [&](const prompt_crash& known) { return is_same_crash(known, crash); });
    if (is_known || crash.at <= part.answered_at || now - crash.at >= crash_lifetime)
        return;
    const auto later = std::upper_bound(part.crashes.begin(), part.crashes.end(), crash,
                                        [](const auto& a, const auto& b) { return a.at < b.at; });
    part.crashes.insert(later, crash);
    if (part.crashes.size() > max_crashes)
        part.crashes.erase(part.crashes.begin());
    limit_size(now);
}

void prompt_quarantine::add(const prompt_answer& answer, core::time_point now)
{
    part_state& part = m_parts[answer.part];
    part.answered_at = std::max(part.answered_at, answer.at);
    std::erase_if(part.crashes,
                  [&](const prompt_crash& known) { return known.at <= part.answered_at; });
    limit_size(now);
}

void prompt_quarantine::merge(const prompt_evidence& received, core::time_point now)
{
    for (const prompt_answer& each : received.answers)
    {
        add(each, now);
    }
    for (const prompt_crash& each : received.crashes)
    {
        add(each, now);
    }
}

/// When the crashes are too old to make a part suspect; nothing when they do not.
std::optional<core::time_point> prompt_quarantine::suspicion_end(const crash_list& crashes,
                                                                 core::time_point now)
{
    if (crashes.size() < crashes_to_quarantine || !has_successive_crashes(crashes))
        return std::nullopt;
    const core::time_point end =
        crashes[crashes.size() - crashes_to_quarantine].at + crash_lifetime;
    return now < end ? std::optional(end) : std::nullopt;
}

bool prompt_quarantine::is_explained_by_other(const part_state& part, core::time_point now) const
{
    const auto suspicion = [](const part_state& each)
    { return std::pair(-each.answered_at.time_since_epoch(), each.crashes.back().position); };
    return std::any_of(m_parts.begin(), m_parts.end(),
                       [&](const auto& entry)
                       {
                           const part_state& other = entry.second;
                           return suspicion_end(other.crashes, now) &&
                                  suspicion(other) > suspicion(part) &&
                                  !suspicion_end(without(part.crashes, other.crashes), now);
                       });
}

std::optional<core::time_point> prompt_quarantine::quarantine_end(const part_state& part,
                                                                  core::time_point now) const
{
    const auto end = suspicion_end(part.crashes, now);
    return end && !is_explained_by_other(part, now) ? end : std::nullopt;
}

std::optional<core::milliseconds>
prompt_quarantine::time_left(std::span<const prompt_part_key> parts, core::time_point now) const
{
    std::optional<core::milliseconds> longest;
    for (const prompt_part_key& each : parts)
    {
        const auto known = m_parts.find(each);
        if (known == m_parts.end())
            continue;
        const auto end = quarantine_end(known->second, now);
        if (!end)
            continue;
        const auto left = std::chrono::duration_cast<core::milliseconds>(*end - now);
        longest = std::max(longest.value_or(left), left);
    }
    return longest;
}

bool prompt_quarantine::is_suspect(std::span<const prompt_part_key> parts,
                                   core::time_point now) const
{
    return std::any_of(parts.begin(), parts.end(),
                       [&](const prompt_part_key& each)
                       {
                           const auto known = m_parts.find(each);
                           return known != m_parts.end() && !known->second.crashes.empty() &&
                                  now - known->second.crashes.back().at < crash_lifetime;
                       });
}

prompt_evidence prompt_quarantine::evidence(std::size_t max_items, core::time_point now) const
{
    std::vector<const part_state*> suspects;
    prompt_evidence known;
    for (const auto& [key, part] : m_parts)
    {
        if (!part.crashes.empty())
            suspects.push_back(&part);
        if (part.suspected_at != core::time_point{} && now - part.answered_at < answer_report_time)
            known.answers.push_back({key, part.answered_at});
    }
    std::sort(suspects.begin(), suspects.end(),
              [](const part_state* a, const part_state* b)
              {
                  if (a->crashes.size() != b->crashes.size())
                      return a->crashes.size() > b->crashes.size();
                  return a->crashes.back().at > b->crashes.back().at;
              });
    for (const part_state* each : suspects)
    {
        if (known.crashes.size() + each->crashes.size() > max_items)
            break;
        known.crashes.insert(known.crashes.end(), each->crashes.begin(), each->crashes.end());
    }
    std::sort(known.answers.begin(), known.answers.end(),
              [](const prompt_answer& a, const prompt_answer& b) { return a.at > b.at; });
    known.answers.resize(std::min(known.answers.size(), max_items));
    return known;
}

std::size_t prompt_quarantine::quarantined(core::time_point now) const
{
    return static_cast<std::size_t>(std::count_if(m_parts.begin(), m_parts.end(),
                                                  [&](const auto& each)
                                                  { return quarantine_end(each.second, now); }));
}

void prompt_quarantine::limit_size(core::time_point now)
{
    if (m_parts.size() <= max_parts)
        return;
    std::erase_if(m_parts,
                  [&](const auto& each)
                  {
                      const part_state& part = each.second;
                      return part.crashes.empty() || now - part.crashes.back().at >= crash_lifetime;
                  });
    while (m_parts.size() > max_parts)
    {
        m_parts.erase(std::min_element(m_parts.begin(), m_parts.end(),
                                       [](const auto& a, const auto& b) {
                                           return a.second.crashes.size() < b.second.crashes.size();
                                       }));
    }
}

} // namespace snipeplank::policy
