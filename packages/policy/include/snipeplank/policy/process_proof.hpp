/// @file
/// What proves that the process behind a connection is one that is warm. Pure.
///
/// An upstream's process may end and another one start under the same id, cold, before anything
/// says so. A request that is sent on a connection reaches the process that accepted it, or nobody.
/// So what a node knows of a connection proves something, and what it knows of an upstream does
/// not.

#ifndef SNIPEPLANK_POLICY_PROCESS_PROOF_HPP
#define SNIPEPLANK_POLICY_PROCESS_PROOF_HPP

#include <snipeplank/core/units.hpp>

#include <optional>

namespace snipeplank::policy
{

/// @brief What a node knows of one of its connections.
struct connection_record
{
    core::time_point opened_at{};
    /// When its process was last proven to be warm.
    std::optional<core::time_point> proven_at;
};

/// @brief Whether an attempt asks the process of an upstream to say which one it is.
enum class verification_turn
{
    own,     ///< it does
    others,  ///< another one does at the moment
    not_now, ///< the process gave no usable answer a moment ago
};

/// @brief Tracks what proves that one upstream's process is warm. Not thread-safe.
///
/// `doubted_at` is the time at which the node last could have missed anything: the end of its
/// latest pause. What was proven before counts no longer.
class process_proof
{
  public:
    /// No process ends, and its successor starts and listens, in less time.
    static constexpr core::milliseconds shortest_restart{500};
    /// Longest time that a process is given to say which one it is.
    static constexpr core::milliseconds verification_time{400};
    /// A process that gave no usable answer is asked again after this time.
    static constexpr core::milliseconds retry_interval{250};

    /// @brief Whether the process behind the connection was warm already: it was proven on this
    /// connection, it has been open for as long as a warm-up lasts, or the process that accepted it
    /// is the one behind a connection that is proven.
    /// @param warmup how long a process may be cold, with a margin
    bool is_proven(const connection_record& connection, core::milliseconds warmup,
                   core::time_point doubted_at, core::time_point now) const;

    /// @brief Records that the upstream accepted a connection.
    void on_contact(core::time_point opened_at);

    /// @brief Records that bytes came on a connection that was proven at `proven_at`.
    void on_received(core::time_point proven_at, core::time_point doubted_at, core::time_point now);

    /// @brief Records that the process may have ended: the upstream refused a connection, crashed,
    /// or was reported as another run. Open connections stay connections to their process.
    void on_may_have_ended();

    /// @brief Begins a verification if none is under way. One that does not end counts as ended
    /// after its time.
    verification_turn begin_verification(core::time_point now);

    /// @brief Ends a verification in which the process answered, or which was given up.
    void end_verification() { m_verification_ends.reset(); }

    /// @brief Ends a verification without a usable answer.
    void end_without_answer(core::time_point now);

    /// @brief Whether the process gave no usable answer a moment ago.
    bool is_unverified(core::time_point now) const { return now < m_ask_again_at; }

  private:
    /// When a proven process was last known to run.
    std::optional<core::time_point> m_seen_running_at;
    /// The upstream accepted connections between these times without a gap in which its process
    /// could have been replaced.
    std::optional<core::time_point> m_contact_since;
    core::time_point m_last_contact{};
    std::optional<core::time_point> m_verification_ends;
    core::time_point m_ask_again_at{};
};

} // namespace snipeplank::policy

#endif
