/// @file
/// Tracks open attempts: the load that they cause and the speeds learned from them. Pure.

#ifndef SNIPEPLANK_SERVING_SRC_ATTEMPT_TRACKER_HPP
#define SNIPEPLANK_SERVING_SRC_ATTEMPT_TRACKER_HPP

#include <snipeplank/policy/pause_watch.hpp>

#include <cstdint>
#include <map>

#include "load_model.hpp"

namespace snipeplank::serving
{

/// After a failed connection the upstream is avoided this long, unless it is the only one. Each
/// further failure doubles the time, up to a limit.
constexpr core::milliseconds unreachable_backoff{1'000};

/// @brief Tracks attempts from sending to their end.
class attempt_tracker : public load_model
{
  public:
    using load_model::load_model;

    /// @return number of the attempt, to pass to the functions below
    std::uint64_t on_sent(const placement_request& request, const upstream_id& target,
                          core::time_point now);
    std::uint64_t on_sent(const placement_request& request, const core::region_id& target,
                          core::time_point now);
    void on_first_byte(std::uint64_t number, core::time_point now);
    void on_pause(std::uint64_t number, double ms, core::time_point now);
    void on_ended(std::uint64_t number, attempt_end how, core::time_point now);

  protected:
    /// Records that the attempt is sent on a proven connection.
    void set_proven(std::uint64_t number, core::time_point now);

    policy::pause_watch m_pauses;

  private:
    static void avoid(upstream_state& known, core::time_point now);
    static void add(own_load& own, const open_attempt& attempt, double sign);
    void record_received(const open_attempt& attempt, core::time_point now);
    open_attempt begin_attempt(const placement_request& request, core::time_point now) const;
    std::uint64_t store(open_attempt attempt);
    own_load* own_load_of(const open_attempt& attempt);

    std::map<std::uint64_t, open_attempt> m_open;
    std::uint64_t m_last_number = 0;
};

} // namespace snipeplank::serving

#endif
