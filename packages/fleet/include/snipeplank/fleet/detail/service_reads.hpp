/// @file
/// Rate limit for reads of the configuration service, which serves about 2,000 reads a second to
/// the whole fleet.

#ifndef SNIPEPLANK_FLEET_DETAIL_SERVICE_READS_HPP
#define SNIPEPLANK_FLEET_DETAIL_SERVICE_READS_HPP

#include <snipeplank/core/random.hpp>
#include <snipeplank/core/units.hpp>
#include <snipeplank/fleet/actions.hpp>
#include <snipeplank/fleet/timing.hpp>

#include <optional>

namespace snipeplank::fleet::detail
{

/// @brief Schedules manifest reads and limits the rate of section reads. Not thread-safe.
class service_reads
{
  public:
    explicit service_reads(core::random_source& random) : m_random(random) {}

    /// @brief Schedules the first read at a random time within half a second, so that nodes that
    /// start together do not read at once.
    void start(core::time_point now);

    /// @brief A watcher keeps a blocking read open; other nodes poll every `slow_poll_interval`.
    void set_watcher(bool watcher, core::time_point now);

    /// @brief Schedules an extra read soon, because no peer supplied the manifest.
    void want_manifest(core::time_point now);

    void on_answer(core::time_point now);
    void on_failure(core::time_point now);

    /// @brief The manifest read that is due, if any.
    std::optional<read_manifest> take_due(core::time_point now);

    /// @brief Consumes one section read of this node's rate limit.
    /// @return false when the limit is exhausted
    bool take_section_read(core::time_point now);

    bool is_watcher() const { return m_watcher; }

    /// @brief A random duration below `bound`.
    core::duration random_delay(core::duration bound);

    /// @brief Whether the service has answered since the start.
    bool answered() const { return m_answered; }

  private:
    core::random_source& m_random;
    core::time_point m_next_read;
    core::time_point m_last_read;
    core::time_point m_refilled;
    core::duration m_retry{};
    double m_section_reads = 0;
    bool m_outstanding = false;
    bool m_watcher = false;
    bool m_answered = false;
};

} // namespace snipeplank::fleet::detail

#endif
