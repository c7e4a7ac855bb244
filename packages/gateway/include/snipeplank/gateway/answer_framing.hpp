/// @file
/// Checks the framing of an answer while its bytes arrive.

#ifndef SNIPEPLANK_GATEWAY_ANSWER_FRAMING_HPP
#define SNIPEPLANK_GATEWAY_ANSWER_FRAMING_HPP

#include <cstdint>
#include <limits>
#include <memory>
#include <string>
#include <string_view>

namespace snipeplank::gateway
{

/// @brief Follows the bytes of one answer, to tell a whole answer from a part of one.
///
/// cpp-httplib reads lengths and chunk sizes leniently, and takes a chunked answer that ends
/// between two chunks for a whole one. It keeps a head or a chunk size of any length, so these are
/// limited here.
class answer_framing
{
  public:
    static constexpr std::uint64_t any_size = std::numeric_limits<std::uint64_t>::max();

    /// @param is_head_answer whether the answer to a HEAD request, which has no body
    /// @param max_body largest body that can be read, in bytes
    explicit answer_framing(bool is_head_answer, std::uint64_t max_body = any_size);
    ~answer_framing();
    answer_framing(const answer_framing&) = delete;
    answer_framing& operator=(const answer_framing&) = delete;

    /// @brief Adds bytes in the order in which they arrive. O(n).
    /// @return false if they cannot be read as an answer
    bool add(std::string_view bytes);

    /// @brief Whether the answer has arrived up to the end that its head declares.
    bool is_whole() const;

    /// @brief Whether the answer is not whole at the end of its connection. An answer whose head
    /// declares no end is whole then.
    bool is_cut() const;

    /// @brief Whether bytes have come behind the end of the answer. They belong to no request.
    bool has_excess() const { return is_whole() && !m_pending.empty(); }

  private:
    class parser;

    void start_answer();
    void on_interim_answer();

    bool m_is_head_answer;
    std::uint64_t m_max_body;
    unsigned m_interim_answers = 0;
    bool m_is_broken = false;
    std::unique_ptr<parser> m_parser;
    std::string m_pending; ///< bytes that the parser could not read yet
};

} // namespace snipeplank::gateway

#endif
