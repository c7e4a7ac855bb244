/// @file
/// Answer sink that buffers a whole answer.

#ifndef SNIPEPLANK_GATEWAY_BUFFERED_ANSWER_HPP
#define SNIPEPLANK_GATEWAY_BUFFERED_ANSWER_HPP

#include <snipeplank/gateway/answer_stream.hpp>

#include <functional>
#include <optional>
#include <string>

namespace snipeplank::gateway
{

/// @brief Buffers an answer in memory; `put_chunk` fails beyond the size limit.
class buffered_answer final : public answer_sink
{
  public:
    explicit buffered_answer(std::size_t max_bytes) : m_max_bytes(max_bytes) {}

    void put_head(answer_head head) override { m_head = std::move(head); }

    bool put_chunk(std::string chunk) override
    {
        if (m_body.size() + chunk.size() > m_max_bytes)
            return false;
        m_body += chunk;
        return true;
    }

    void finish() override { m_is_finished = true; }
    void fail(attempt_failure failure) override { m_failure = std::move(failure); }
    void on_cancel(std::function<void()>) override {}

    bool is_finished() const { return m_is_finished; }
    const std::optional<answer_head>& head() const { return m_head; }
    const std::string& body() const { return m_body; }
    const std::optional<attempt_failure>& failure() const { return m_failure; }

  private:
    std::size_t m_max_bytes;
    bool m_is_finished = false;
    std::optional<answer_head> m_head;
    std::string m_body;
    std::optional<attempt_failure> m_failure;
};

} // namespace snipeplank::gateway

#endif
