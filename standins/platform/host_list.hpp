/// @file
/// The platform's list of live and leaving hosts, with its history and faults.

#ifndef SNIPEPLANK_STANDINS_PLATFORM_HOST_LIST_HPP
#define SNIPEPLANK_STANDINS_PLATFORM_HOST_LIST_HPP

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace snipeplank::standins
{

/// @brief The faults of the host list.
struct host_list_fault
{
    bool frozen = false;   ///< serve the list as of the moment when the fault was set
    bool reversed = false; ///< serve the list before the current one
    std::chrono::milliseconds lag{0};
};

/// @brief Stores every list that was set and serves the one that the fault selects.
class host_list
{
  public:
    host_list();

    /// @brief Sets the list and increments its index.
    void set(nlohmann::json hosts);

    /// @brief Replaces the active fault.
    void set_fault(const host_list_fault& fault);

    /// @brief `{"index":N,"hosts":[...]}` as readers see it under the fault.
    nlohmann::json visible() const;

    /// @brief Entry hosts of the visible list that are not leaving, for callers.
    nlohmann::json directory() const;

  private:
    struct entry
    {
        std::chrono::steady_clock::time_point at;
        nlohmann::json hosts;
    };

    std::size_t visible_position() const;

    mutable std::mutex m_mutex;
    std::vector<entry> m_history;
    host_list_fault m_fault;
    std::size_t m_frozen_position = 0;
};

} // namespace snipeplank::standins

#endif
