#include <snipeplank/policy/crash_quarantine.hpp>

#include <algorithm>
#include <chrono>

namespace snipeplank::policy
{

namespace
{

/// Two reports of a crash of the same upstream within this time are about the same crash. Times of
/// other nodes are known only up to the delay of their messages.
constexpr core::seconds same_crash_time{2};
/// Crashes are told to all nodes within this time.
constexpr core::seconds recent_time{30};
/// Time between two messages, in which the next of the older crashes are told.
constexpr core::milliseconds turn_time{300};

bool is_same_crash(const crash_report& a, const crash_report& b)
{
    return a.upstream == b.upstream && a.at < b.at + same_crash_time &&
           b.at < a.at + same_crash_time;
}

/// Longest sequence of crashes each of whose requests was sent after the crash before it.
/// @param crashes oldest first
std::vector<crash_report> successive_crashes(const std::vector<crash_report>& crashes)
{
    std::vector<crash_report> sequence;
    for (const crash_report& each : crashes)
    {
        if (sequence.empty() || each.sent > sequence.back().at)
            sequence.push_back(each);
    }
    return sequence;
}

/// The crashes of one part that other nodes are told: successive ones first.
std::vector<crash_report> told_crashes(const std::vector<crash_report>& crashes)
{
    constexpr std::size_t max_told = 8;
    if (crashes.size() <= max_told)
        return crashes;
    std::vector<crash_report> told = successive_crashes(crashes);
    for (const crash_report& each : crashes)
    {
        if (std::find(told.begin(), told.end(), each) == told.end())
            told.push_back(each);
    }
    told.resize(max_told);
    return told;
}

bool is_of_whole_request(const std::vector<crash_report>& crashes)
{
    return !crashes.empty() && crashes.back().position == whole_request_position;
}

/// Whether the crashes are enough evidence against a part. Hosts that fail one after another may
/// break off several requests at each moment.
bool are_enough(const std::vector<crash_report>& crashes)
{
    constexpr std::size_t many_crashes = 5;
    constexpr std::size_t min_successive_of_many = 2;
    const std::size_t successive = successive_crashes(crashes).size();
    return successive >= crash_quarantine::crashes_to_quarantine ||
           (crashes.size() >= many_crashes && successive >= min_successive_of_many);
}

/// The crashes of the first list that are not in the second one.
std::vector<crash_report> without(const std::vector<crash_report>& crashes,
                                  const std::vector<crash_report>& others)
{
    std::vector<crash_report> rest;
    for (const crash_report& each : crashes)
    {
        const bool is_shared =
            std::any_of(others.begin(), others.end(),
                        [&](const crash_report& other) { return is_same_crash(each, other); });
        if (!is_shared)
            rest.push_back(each);
    }
    return rest;
}

} // namespace

void crash_quarantine::add(const crash_report& crash, core::time_point now)
{
    part_state& part = m_parts[crash.part];
    part.suspected_at = std::max(part.suspected_at, now);
    const auto known =
        std::find_if(part.crashes.begin(), part.crashes.end(),
                     [&](const crash_report& each) { return is_same_crash(each, crash); });
    if (known == part.crashes.end())
        part.crashes.push_back(crash);
    else
    {
        // A report that comes over more nodes has later times.
        known->sent = std::min(known->sent, crash.sent);
        known->at = std::min(known->at, crash.at);
    }
    std::erase_if(part.crashes, [&](const crash_report& each)
                  { return each.at <= part.answered_at || now - each.at >= crash_lifetime; });
    std::stable_sort(part.crashes.begin(), part.crashes.end(),
                     [](const auto& a, const auto& b) { return a.at < b.at; });
    // The oldest ones stay: if nodes dropped these, others would report them again, later each
    // time.
    if (part.crashes.size() > max_crashes)
        part.crashes.pop_back();
    limit_size(now);
}

void crash_quarantine::add(const answer_report& answer, core::time_point now)
{
    part_state& part = m_parts[answer.part];
    part.answered_at = std::max(part.answered_at, answer.at);
    std::erase_if(part.crashes,
                  [&](const crash_report& known) { return known.at <= part.answered_at; });
    limit_size(now);
}

void crash_quarantine::add_to_known(const answer_report& answer, core::time_point now)
{
    if (m_parts.contains(answer.part))
        add(answer, now);
}

void crash_quarantine::merge(const crash_evidence& received, core::time_point now)
{
    for (const answer_report& each : received.answers)
    {
        add(each, now);
    }
    for (const crash_report& each : received.crashes)
    {
        add(each, now);
    }
}

/// When the crashes are too old to make a part suspect; nothing when they do not.
std::optional<core::time_point> crash_quarantine::suspicion_end(const crash_list& crashes,
                                                                core::time_point now)
{
    if (crashes.size() < crashes_to_quarantine || !are_enough(crashes))
        return std::nullopt;
    const core::time_point end =
        crashes[crashes.size() - crashes_to_quarantine].at + crash_lifetime;
    return now < end ? std::optional(end) : std::nullopt;
}

/// When a whole request with these crashes may be sent again; nothing when it may be now.
std::optional<core::time_point> crash_quarantine::hold_end(const crash_list& crashes,
                                                           std::size_t forgiven_crashes,
                                                           core::time_point now)
{
    const std::size_t successive = successive_crashes(crashes).size();
    if (successive <= forgiven_crashes)
        return std::nullopt;
    core::duration hold = first_hold;
    if (successive > 1)
        hold = crashes.size() < crashes_to_quarantine ? second_hold : crash_lifetime;
    const core::time_point end = crashes.back().at + hold;
    return now < end ? std::optional(end) : std::nullopt;
}

/// When crashes no longer keep a whole request, or a part of a prompt, away from upstreams.
std::optional<core::time_point> crash_quarantine::end_by_kind(const crash_list& crashes,
                                                              std::size_t forgiven_crashes,
                                                              core::time_point now)
{
    return is_of_whole_request(crashes) ? hold_end(crashes, forgiven_crashes, now)
                                        : suspicion_end(crashes, now);
}

/// Whether a part is more suspect than another one whose crashes it explains: the one answered
/// longer ago, then the one with more crashes of its own, then the one further back.
bool crash_quarantine::is_more_suspect(const part_state& part, const part_state& other)
{
    if (part.answered_at != other.answered_at)
        return part.answered_at < other.answered_at;
    const std::size_t own = without(part.crashes, other.crashes).size();
    const std::size_t own_of_other = without(other.crashes, part.crashes).size();
    if (own != own_of_other)
        return own > own_of_other;
    return part.crashes.back().position > other.crashes.back().position;
}

/// Whether the crashes of a part are those of another suspect that is more suspect.
/// @param forgiven_crashes of a whole request
bool crash_quarantine::is_explained_by(const part_state& part, const part_state& other,
                                       std::size_t forgiven_crashes, core::time_point now)
{
    return suspicion_end(other.crashes, now) &&
           !end_by_kind(without(part.crashes, other.crashes), forgiven_crashes, now) &&
           is_more_suspect(other, part);
}

bool crash_quarantine::is_explained_by_other(const part_state& part, std::size_t forgiven_crashes,
                                             core::time_point now) const
{
    return std::any_of(m_parts.begin(), m_parts.end(),
                       [&](const auto& entry)
                       { return is_explained_by(part, entry.second, forgiven_crashes, now); });
}

/// Whether another whole request has all crashes of this one, which are too few to quarantine it:
/// one of the two ran beside the other, and only a further crash tells which.
bool crash_quarantine::is_one_of_several(const part_state& part) const
{
    if (!is_of_whole_request(part.crashes) || part.crashes.size() >= crashes_to_quarantine)
        return false;
    return std::any_of(m_parts.begin(), m_parts.end(),
                       [&](const auto& entry)
                       {
                           const part_state& other = entry.second;
                           return &other != &part && is_of_whole_request(other.crashes) &&
                                  without(part.crashes, other.crashes).empty();
                       });
}

std::optional<core::time_point> crash_quarantine::quarantine_end(const part_state& part,
                                                                 std::size_t forgiven_crashes,
                                                                 core::time_point now) const
{
    const auto end = end_by_kind(part.crashes, forgiven_crashes, now);
    if (!end || is_explained_by_other(part, forgiven_crashes, now))
        return std::nullopt;
    if (!is_one_of_several(part))
        return end;
    const core::time_point first_end = part.crashes.back().at + first_hold;
    return now < first_end ? std::optional(first_end) : std::nullopt;
}

/// Whether a prompt tells a part that was never answered from another one that explains its
/// crashes: it has the first without the second. An answer to it clears the part, crashes confirm
/// it. If such prompts were refused too, the part would stay suspect for good.
bool crash_quarantine::is_tested_by(std::span<const request_part_key> prompt,
                                    const part_state& part, core::time_point now) const
{
    if (part.answered_at != core::time_point{})
        return false;
    return std::any_of(m_parts.begin(), m_parts.end(),
                       [&](const auto& entry)
                       {
                           const auto& [key, other] = entry;
                           const crash_list own = without(part.crashes, other.crashes);
                           const crash_list own_of_other = without(other.crashes, part.crashes);
                           const bool is_explained =
                               suspicion_end(other.crashes, now) && !suspicion_end(own, now);
                           const bool is_in_prompt =
                               std::find(prompt.begin(), prompt.end(), key) != prompt.end();
                           return is_explained && own.size() > own_of_other.size() && !is_in_prompt;
                       });
}

std::optional<core::milliseconds>
crash_quarantine::time_left(std::span<const request_part_key> parts, core::time_point now,
                            std::size_t forgiven_crashes) const
{
    std::optional<core::milliseconds> longest;
    for (const request_part_key& each : parts)
    {
        const auto known = m_parts.find(each);
        if (known == m_parts.end())
            continue;
        const part_state& part = known->second;
        const auto end = quarantine_end(part, forgiven_crashes, now);
        const bool may_be_tested = !is_of_whole_request(part.crashes);
        if (!end || (may_be_tested && is_tested_by(parts, part, now)))
            continue;
        const auto left = std::chrono::duration_cast<core::milliseconds>(*end - now);
        longest = std::max(longest.value_or(left), left);
    }
    return longest;
}

bool crash_quarantine::is_suspect(std::span<const request_part_key> parts,
                                  core::time_point now) const
{
    return std::any_of(parts.begin(), parts.end(),
                       [&](const request_part_key& each)
                       {
                           const auto known = m_parts.find(each);
                           return known != m_parts.end() && !known->second.crashes.empty() &&
                                  now - known->second.crashes.back().at < crash_lifetime;
                       });
}

/// The parts with crashes: first those with a recent one, the most suspect in front, then the
/// others, which the nodes know already, in turn.
std::vector<const crash_quarantine::part_state*>
crash_quarantine::suspects(core::time_point now) const
{
    std::vector<const part_state*> parts;
    for (const auto& [key, part] : m_parts)
    {
        if (!part.crashes.empty())
            parts.push_back(&part);
    }
    const auto is_recent = [&](const part_state* each)
    { return now - each->crashes.back().at < recent_time; };
    const auto settled = std::partition(parts.begin(), parts.end(), is_recent);
    std::sort(parts.begin(), settled,
              [](const part_state* a, const part_state* b)
              {
                  if (a->crashes.size() != b->crashes.size())
                      return a->crashes.size() > b->crashes.size();
                  if (a->answered_at != b->answered_at)
                      return a->answered_at < b->answered_at;
                  return a->crashes.back().at > b->crashes.back().at;
              });
    if (settled == parts.end())
        return parts;
    std::sort(settled, parts.end(),
              [](const part_state* a, const part_state* b)
              { return a->crashes.back().part < b->crashes.back().part; });
    const auto turn = now.time_since_epoch() / turn_time;
    std::rotate(settled, settled + turn % (parts.end() - settled), parts.end());
    return parts;
}

crash_evidence crash_quarantine::evidence(std::size_t max_items, core::time_point now) const
{
    crash_evidence known;
    for (const part_state* each : suspects(now))
    {
        const std::vector<crash_report> told = told_crashes(each->crashes);
        if (known.crashes.size() + told.size() <= max_items)
            known.crashes.insert(known.crashes.end(), told.begin(), told.end());
    }
    using told_answer = std::pair<core::time_point, answer_report>;
    std::vector<told_answer> answers;
    for (const auto& [key, part] : m_parts)
    {
        if (part.suspected_at == core::time_point{} || part.answered_at == core::time_point{})
            continue;
        if (now - part.suspected_at < answer_report_time)
            answers.push_back({part.suspected_at, {key, part.answered_at}});
    }
    std::sort(answers.begin(), answers.end(),
              [](const told_answer& a, const told_answer& b) { return a.first > b.first; });
    answers.resize(std::min(answers.size(), max_items));
    for (const told_answer& each : answers)
    {
        known.answers.push_back(each.second);
    }
    return known;
}

std::size_t crash_quarantine::quarantined(core::time_point now) const
{
    std::vector<const part_state*> suspected;
    for (const auto& [key, part] : m_parts)
    {
        if (suspicion_end(part.crashes, now))
            suspected.push_back(&part);
    }
    std::size_t count = 0;
    for (const auto& [key, part] : m_parts)
    {
        if (!end_by_kind(part.crashes, 0, now))
            continue;
        const bool is_explained = std::any_of(suspected.begin(), suspected.end(),
                                              [&, &one = part](const part_state* other)
                                              { return is_explained_by(one, *other, 0, now); });
        count += is_explained ? 0 : 1;
    }
    return count;
}

void crash_quarantine::limit_size(core::time_point now)
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
