/// @file
/// Receiving side of a streamed answer: whole and its own, or an error.

#ifndef SNIPEPLANK_POLICY_ANSWER_ASSEMBLY_HPP
#define SNIPEPLANK_POLICY_ANSWER_ASSEMBLY_HPP

#include <snipeplank/core/hash.hpp>
#include <snipeplank/policy/call_outcome.hpp>

#include <cstdint>
#include <string_view>

namespace snipeplank::policy
{

/// @brief What to do with a frame of an answer.
enum class assembly_step
{
    pass_on,  ///< give the caller the bytes that `fresh` names
    drop,     ///< repeated bytes, or a frame after the end; counted by the owner
    finished, ///< the answer is whole
    broken,   ///< a gap, a second head, a wrong length or checksum; the answer cannot become whole
};

/// @brief Verdict on one frame.
struct assembly_verdict
{
    assembly_step step = assembly_step::broken;
    std::string_view fresh; ///< part of the chunk that was not seen before
};

/// @brief Checks offsets, length and XXH64 of one answer's frames.
///
/// Bytes are passed on as they come and are not kept. The owner finds the assembly by the call
/// number; a frame whose number it does not know is dropped and counted.
class answer_assembly
{
  public:
    /// @brief The head. A second one breaks the answer, since a call has one answer.
    assembly_verdict on_head(int status);

    /// @brief A chunk; bytes below the current offset are skipped, a gap breaks the answer.
    assembly_verdict on_chunk(std::uint64_t offset, std::string_view data);

    /// @brief The end, with the whole length and the XXH64 of all bytes.
    assembly_verdict on_end(std::uint64_t length, std::uint64_t checksum);

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

    assembly_verdict break_off();

    core::checksum64 m_sum;
    state m_state = state::waiting;
    std::uint64_t m_received = 0;
    int m_status = 0;
};

} // namespace snipeplank::policy

#endif
