/// @file
/// Integrity checks on the receiving side of a streamed answer.

#ifndef SNIPEPLANK_POLICY_ANSWER_ASSEMBLY_HPP
#define SNIPEPLANK_POLICY_ANSWER_ASSEMBLY_HPP

#include <snipeplank/core/hash.hpp>
#include <snipeplank/policy/call_outcome.hpp>

#include <cstdint>
#include <string_view>

namespace snipeplank::policy
{

/// @brief What the owner does with a frame of an answer.
enum class assembly_step
{
    forward,  ///< send the bytes in `fresh` to the caller
    drop,     ///< repeated bytes, or a frame after the end; the owner counts it
    finished, ///< the answer is complete
    broken,   ///< a gap, a different head, a wrong length or checksum; the answer stays incomplete
};

/// @brief Result of checking one frame.
struct assembly_result
{
    assembly_step step = assembly_step::broken;
    std::string_view fresh; ///< bytes of the chunk that were not received before
};

/// @brief Checks the offsets, the length and the XXH64 checksum of one answer's frames.
///
/// Bytes are forwarded as they arrive and are not stored. The owner finds the assembly by the call
/// number; it drops and counts frames with an unknown number.
class answer_assembly
{
  public:
    /// @brief Handles the head. A repeated head is dropped; one with another status breaks the
    /// answer, because a call has only one answer.
    assembly_result on_head(int status);

    /// @brief Handles a chunk. Bytes below the current offset are skipped; a gap breaks the answer.
    assembly_result on_chunk(std::uint64_t offset, std::string_view data);

    /// @brief Handles the end, with the total length and the XXH64 of all bytes.
    assembly_result on_end(std::uint64_t length, std::uint64_t checksum);

    bool is_finished() const { return m_state == state::finished; }
    bool is_broken() const { return m_state == state::broken; }
    bool has_head() const { return m_state != state::waiting; }
    std::uint64_t received() const { return m_received; }
    int status() const { return m_status; }

  private:
    enum class state
    {
        waiting,
        receiving,
        finished,
        broken,
    };

    assembly_result break_off();

    core::checksum64 m_sum;
    state m_state = state::waiting;
    std::uint64_t m_received = 0;
    int m_status = 0;
};

} // namespace snipeplank::policy

#endif
