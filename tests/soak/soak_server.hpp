/// @file
/// One server of a soak, its relay, and its incarnations after crashes.

#ifndef SNIPEPLANK_TESTS_SOAK_SOAK_SERVER_HPP
#define SNIPEPLANK_TESTS_SOAK_SOAK_SERVER_HPP

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "machine_fleet.hpp"
#include "soak_shape.hpp"
#include "soak_verdict.hpp"
#include "standin.hpp"

namespace snipeplank::tests
{

/// @brief A server that is started again under a new id when it has ended by itself.
class soak_server
{
  public:
    /// @brief Starts the server and its relay, and publishes its entry.
    soak_server(machine_fleet& fleet, server_place place, const soak_shape& shape);

    /// @brief Id of the current incarnation.
    const std::string& id() const { return m_id; }
    const std::string& region() const { return m_place.region; }
    standin& path() { return *m_path; }

    /// @brief Publishes the entry as leaving or as ready.
    void set_leaving(bool is_leaving);
    void pause();
    void resume();

    /// @brief Lets the server stand still once, unless it has just stood still.
    /// @param stays_up it then accepts connections meanwhile, but sends nothing
    void stand_still(std::chrono::milliseconds duration, bool stays_up);

    /// @brief Sets the fault of its answers; empty for none.
    void set_fault(const std::string& fault) { control("/standin/fault", fault); }

    /// @brief Whether its answers end with their connection.
    void set_close_ended(bool is_close_ended);

    /// @brief Names the part of a prompt whose answer ends the program; empty for none.
    void set_fatal_part(const std::string& part);

    /// @brief Ends the server as a crash does. It starts again under its id after the pause, and
    /// its next entry comes a while later.
    void restart(std::chrono::milliseconds pause);

    /// @brief Ends the server as a crash does. It starts again under a new id with other software.
    void replace(const std::string& version);

    /// @brief Records that its answers or its path are disturbed, or that it is to leave.
    void set_disturbed(bool is_disturbed);

    /// @brief Starts a server that has ended again after a while and removes its former entry.
    void tend();

    /// @brief Waits until the server runs and ends all faults.
    void restore();

    /// @brief What each incarnation has seen.
    std::vector<server_record> records() const;

  private:
    /// An entry that a store removes when its lease has expired.
    struct expired_entry
    {
        std::string id;
        soak_time at;
    };

    void start(const std::string& address);
    void on_ended();
    void publish();
    void crash();
    void control(const std::string& path, const std::string& body);
    bool has_ended();
    server_record record_of(const nlohmann::json& seen) const;

    machine_fleet& m_fleet;
    server_place m_place;
    soak_shape m_shape;
    std::string m_id;
    std::string m_version;
    int m_incarnation = 1;
    int m_sequence = 0; ///< of its entries since its start
    long m_born_ms = 0;
    soak_time m_started{};
    std::optional<std::chrono::milliseconds> m_pause; ///< before the next run under the same id
    std::optional<soak_time> m_publishes_at;          ///< its next entry is due then
    std::vector<disturbed_time> m_disturbed;
    int m_disturbances = 0; ///< in progress
    std::unique_ptr<standin> m_program;
    std::unique_ptr<standin> m_path;
    std::vector<server_record> m_ended;
    std::deque<expired_entry> m_expired;
    soak_time m_starts_at{}; ///< of the next incarnation
    soak_time m_still_until{};
    bool m_is_down = false;
    bool m_is_paused = false;
    bool m_is_leaving = false;
    bool m_is_close_ended = false;
    std::string m_fatal_part;
};

} // namespace snipeplank::tests

#endif
