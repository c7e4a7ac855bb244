/// @file
/// Deterministic answers of the stand-in engine, computed from its name and the request body, so
/// that a test can compute the exact bytes that it expects.

#ifndef SNIPEPLANK_STANDINS_SUPPORT_ENGINE_ANSWER_HPP
#define SNIPEPLANK_STANDINS_SUPPORT_ENGINE_ANSWER_HPP

#include <cstddef>
#include <cstdint>
#include <string>

namespace snipeplank::standins
{

/// @brief Computes the answer to one request body.
///
/// @code
/// engine_answer answer("alpha", body, true);
/// CHECK(received == answer.stream());
/// @endcode
class engine_answer
{
  public:
    /// @param name name of the engine, part of every event
    /// @param body the request body, byte for byte
    /// @param chat whether the answer has the chat completions format
    engine_answer(std::string name, const std::string& body, bool chat);

    /// @brief Number of tokens: `max_completion_tokens` or `max_tokens`, 16 by default.
    std::size_t token_count() const { return m_token_count; }

    /// @brief Whether the body asks for a stream.
    bool is_streamed() const { return m_streamed; }

    /// @brief Text of the prompt; for chat, the role and content of each message.
    const std::string& prompt() const { return m_prompt; }

    /// @brief `priority` of the request; lower numbers are served first.
    int priority() const { return m_priority; }

    /// @brief Server-sent event of token `number`, counted from 1. Its id is the number.
    std::string event(std::size_t number) const;

    /// @brief The event that ends a stream.
    static std::string done_event();

    /// @brief All bytes of a stream that starts after token `last_received`.
    std::string stream(std::size_t last_received = 0) const;

    /// @brief Body of the complete answer when it is not streamed.
    std::string whole() const;

  private:
    std::string token(std::size_t number) const;
    std::string id() const;

    std::string m_name;
    std::uint64_t m_seed;
    bool m_chat;
    std::string m_model;
    std::string m_prompt;
    std::size_t m_token_count = 16;
    bool m_streamed = false;
    int m_priority = 0;
};

} // namespace snipeplank::standins

#endif
