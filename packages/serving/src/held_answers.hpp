/// @file
/// What the calls of a node hold of their answers, against one limit.

#ifndef SNIPEPLANK_SERVING_SRC_HELD_ANSWERS_HPP
#define SNIPEPLANK_SERVING_SRC_HELD_ANSWERS_HPP

#include <snipeplank/core/units.hpp>

#include <cstddef>

namespace snipeplank::serving
{

/// @brief Bytes of answers that wait in this node for their callers. Used on the event loop only.
///
/// The limit bounds what slow readers can make a node hold: at the limit, a call passes its answer
/// on as it arrives, and one that has to take what arrives gives it up.
class held_answers
{
  public:
    /// Of a node that does not know the memory of its machine.
    static constexpr core::bytes default_limit{67'108'864};

    /// @brief Part of one call; returned when it is destroyed.
    class share
    {
      public:
        explicit share(held_answers& all) : m_all(all) {}
        ~share() { m_all.m_bytes -= m_bytes; }
        share(const share&) = delete;
        share& operator=(const share&) = delete;

        void set(std::size_t bytes)
        {
            m_all.m_bytes += bytes;
            m_all.m_bytes -= m_bytes;
            m_bytes = bytes;
        }

        std::size_t bytes() const { return m_bytes; }

      private:
        held_answers& m_all;
        std::size_t m_bytes = 0;
    };

    explicit held_answers(core::bytes limit = default_limit) : m_limit(limit) {}
    held_answers(const held_answers&) = delete;
    held_answers& operator=(const held_answers&) = delete;

    bool is_full() const { return m_bytes >= m_limit.count; }

    std::size_t bytes() const { return m_bytes; }

  private:
    core::bytes m_limit;
    std::size_t m_bytes = 0;
};

} // namespace snipeplank::serving

#endif
