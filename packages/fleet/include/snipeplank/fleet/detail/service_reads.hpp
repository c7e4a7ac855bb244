/// @file
/// When a node reads the configuration service, which serves about 2,000 reads a second to all.

#ifndef SNIPEPLANK_FLEET_DETAIL_SERVICE_READS_HPP
#define SNIPEPLANK_FLEET_DETAIL_SERVICE_READS_HPP

#include <snipeplank/core/random.hpp>
#include <snipeplank/core/units.hpp>
#include <snipeplank/fleet/actions.hpp>
#include <snipeplank/fleet/timing.hpp>

#include <optional>

namespace snipeplank::fleet::detail
{

/// @brief Paces manifest reads and section reads. Not thread-safe.
class service_reads
{
  public:
    explicit service_reads(core::random_source& random) : m_random(random) {}

    /// @brief Plans the first read, spread over half a second for the case that all nodes start.
    void start(core::time_point now);

    /// @brief A watcher keeps a blocking read open; other nodes poll slowly.
    void set_watcher(bool watcher, core::time_point now);

    /// @brief Asks for an extra read soon, because peers could not give the manifest.
    void want_manifest(core::time_point now);

    void on_answer(core::time_point now);
    void on_failure(core::time_point now);

    /// @brief The manifest read that is due, or nothing.
    std::optional<read_manifest> take_due(core::time_point now);

    /// @brief Takes one section read out of this node's rate.
    /// @return false when the rate is used up
    bool take_section_read(core::time_point now);

    bool is_watcher() const { return m_watcher; }

    /// @brief A random time below `bound`.
    core::duration spread(core::duration bound);

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
