/// @file
/// Measures reads of the published state by stage.

#ifndef SNIPEPLANK_SERVING_SRC_READ_TIMER_HPP
#define SNIPEPLANK_SERVING_SRC_READ_TIMER_HPP

#include <snipeplank/serving/state_source.hpp>

#include <algorithm>
#include <chrono>
#include <cstddef>

#include "clock.hpp"

namespace snipeplank::serving
{

/// @brief Measures one read of the state, from the question until its changes are in force. A
/// listing has several answers, whose times add up.
class read_timer
{
  public:
    read_timer(state_kind kind, read_path by) : m_step_began(now())
    {
        m_read.kind = kind;
        m_read.by = by;
    }

    /// @brief Sets of which kind the changes are that are about to be applied.
    void set_kind(state_kind kind) { m_read.kind = kind; }

    /// @brief Records that the head of an answer was read.
    void on_head() { m_read.waited += take_step(); }

    /// @brief Records that a whole answer was read, before it is decoded.
    void on_body(std::size_t bytes)
    {
        m_read.bytes.count += bytes;
        m_read.received += take_step();
    }

    /// @brief The read, whose changes are in force now.
    state_read finish()
    {
        m_read.applied = take_step();
        return m_read;
    }

  private:
    core::milliseconds take_step()
    {
        const core::time_point ended = now();
        const auto spent = std::chrono::duration_cast<core::milliseconds>(ended - m_step_began);
        m_step_began = ended;
        return spent;
    }

    core::time_point m_step_began;
    state_read m_read;
};

} // namespace snipeplank::serving

#endif
