/// @file
/// Quarantine of requests, and of parts of prompts, under which upstreams crash ("queries of
/// death").

#ifndef SNIPEPLANK_POLICY_CRASH_QUARANTINE_HPP
#define SNIPEPLANK_POLICY_CRASH_QUARANTINE_HPP

#include <snipeplank/core/strong_type.hpp>
#include <snipeplank/core/units.hpp>
#include <snipeplank/policy/upstream_run_key.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace snipeplank::policy
{

/// Hash of something that requests may have in common: the id of a part of their prompts, or all
/// that identifies a request.
using request_part_key = core::strong_type<std::uint64_t, struct request_part_key_tag>;

/// Position of the key of a whole request, behind the parts of its prompt.
constexpr std::uint16_t whole_request_position = 0xFFFF;

/// @brief An upstream crashed while it began to answer a request with this part.
struct crash_report
{
    request_part_key part;
    upstream_run_key upstream;
    core::time_point sent;      ///< when the request was sent
    core::time_point at;        ///< when the upstream crashed
    std::uint16_t position = 0; ///< of the part in the prompt, from 0, or of the whole request

    friend bool operator==(const crash_report&, const crash_report&) = default;
};

/// @brief An upstream answered a request with this part.
struct answer_report
{
    request_part_key part;
    core::time_point at;

    friend bool operator==(const answer_report&, const answer_report&) = default;
};

/// @brief What one node knows of suspected parts, for the other nodes.
struct crash_evidence
{
    std::vector<crash_report> crashes;
    std::vector<answer_report> answers;

    bool is_empty() const { return crashes.empty() && answers.empty(); }
};

/// @brief Decides under which requests, and under which parts of prompts, upstreams crash, from the
/// evidence of all nodes.
///
/// A request that comes again is known exactly, so one crash holds it back already: for a moment
/// after the first, until all nodes know of it, longer after two of which one followed the other,
/// and for the lifetime of the evidence after three. Several at one moment, as when a host fails,
/// count as one for this. Requests that ran beside a fatal one crash with it and are answered when
/// they are sent again; while two requests have the same two crashes, both are held back only for a
/// moment, since the next crash tells them apart.
///
/// Which part of a prompt is fatal has to be inferred. A part that crashes every upstream is never
/// answered; the other parts of the same prompts, and the parts of prompts that were lost with
/// them, soon are. So an answer clears a part, and a part with several crashes since its last
/// answer is suspected. Crashes at one moment, as when a host fails, are no independent evidence:
/// three requests must each have been sent after the crash before (of five crashes, two). Of
/// suspected parts with the same crashes, only the one that was answered longest ago is
/// quarantined; of equal ones, the one with more crashes of its own, then the one furthest back in
/// the prompt: prompts share their first parts. A prompt that tells such parts apart is sent, since
/// a part that no node has seen answered may be the sound one. Merging evidence is commutative and
/// idempotent. Pure; not thread-safe.
class crash_quarantine
{
  public:
    /// Successive crashes since the last answer that quarantine a part.
    static constexpr std::size_t crashes_to_quarantine = 3;
    /// How long a request is held back after its first crash: longer than the nodes take to tell
    /// each other of it.
    static constexpr core::milliseconds first_hold{1'000};
    /// How long a request is held back after two successive crashes.
    static constexpr core::seconds second_hold{30};
    /// How long a crash counts.
    static constexpr core::seconds crash_lifetime{600};
    /// How long an answer to a part is reported after the last report of a crash under it.
    static constexpr core::seconds answer_report_time{30};
    /// Parts known at a time; the least suspect ones are forgotten first.
    static constexpr std::size_t max_parts = 2'048;
    /// Crashes kept for one part, the oldest ones.
    static constexpr std::size_t max_crashes = 32;

    /// @brief Records a crash, of this node or of another. O(1) amortised.
    void add(const crash_report& crash, core::time_point now);

    /// @brief Records an answer, of this node or of another. O(1) amortised.
    void add(const answer_report& answer, core::time_point now);

    /// @brief Records an answer of this node to a whole request, if it is known: an answer to any
    /// other would say nothing.
    void add_to_known(const answer_report& answer, core::time_point now);

    /// @brief Merges the evidence of another node.
    void merge(const crash_evidence& received, core::time_point now);

    /// @brief How long requests with these parts are not to be sent; nothing when they may be.
    /// @param forgiven_crashes crashes under the whole request that do not hold it back
    std::optional<core::milliseconds> time_left(std::span<const request_part_key> parts,
                                                core::time_point now,
                                                std::size_t forgiven_crashes = 0) const;

    /// @brief Whether an upstream crashed under one of the parts since its last answer.
    bool is_suspect(std::span<const request_part_key> parts, core::time_point now) const;

    /// @brief What the other nodes should know: parts with recent crashes, the most suspect first,
    /// then the others in turn. O(parts log parts).
    /// @param max_items limit of the crashes, and of the answers
    crash_evidence evidence(std::size_t max_items, core::time_point now) const;

    /// @brief Number of parts in quarantine. O(parts * suspected parts).
    std::size_t quarantined(core::time_point now) const;

  private:
    using crash_list = std::vector<crash_report>;

    struct part_state
    {
        crash_list crashes; ///< since the last answer, oldest first
        core::time_point answered_at{};
        core::time_point suspected_at{}; ///< last report of a crash, cleared ones included
    };

    static std::optional<core::time_point> suspicion_end(const crash_list& crashes,
                                                         core::time_point now);
    static std::optional<core::time_point>
    hold_end(const crash_list& crashes, std::size_t forgiven_crashes, core::time_point now);
    static std::optional<core::time_point>
    end_by_kind(const crash_list& crashes, std::size_t forgiven_crashes, core::time_point now);
    std::optional<core::time_point> quarantine_end(const part_state& part,
                                                   std::size_t forgiven_crashes,
                                                   core::time_point now) const;
    static bool is_more_suspect(const part_state& part, const part_state& other);
    std::vector<const part_state*> suspects(core::time_point now) const;
    static bool is_explained_by(const part_state& part, const part_state& other,
                                std::size_t forgiven_crashes, core::time_point now);
    bool is_explained_by_other(const part_state& part, std::size_t forgiven_crashes,
                               core::time_point now) const;
    bool is_tested_by(std::span<const request_part_key> prompt, const part_state& part,
                      core::time_point now) const;
    bool is_one_of_several(const part_state& part) const;
    void limit_size(core::time_point now);

    std::unordered_map<request_part_key, part_state> m_parts;
};

} // namespace snipeplank::policy

#endif
