/// @file
/// Queue that passes one answer from the receiving thread to the delivering thread.

#ifndef SNIPEPLANK_GATEWAY_ANSWER_STREAM_HPP
#define SNIPEPLANK_GATEWAY_ANSWER_STREAM_HPP

#include <snipeplank/core/error.hpp>
#include <snipeplank/core/units.hpp>
#include <snipeplank/policy/refusal.hpp>

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace snipeplank::gateway
{

/// @brief One HTTP header field.
struct header_field
{
    std::string name;
    std::string value;
};

/// @brief Status and headers of an answer.
struct answer_head
{
    int status = 0;
    std::vector<header_field> headers;
    std::string content_type;
    bool is_event_stream = false;
};

/// @brief Why an attempt failed, before its head arrived or in the middle of its answer.
struct attempt_failure
{
    core::error cause;
    bool may_have_been_sent = true; ///< false only when no byte of the call reached a socket
    std::optional<policy::refusal> refused; ///< a peer's or an upstream's refusal before execution
};

/// @brief Receives one answer: head, chunks, then end or failure.
class answer_sink
{
  public:
    virtual ~answer_sink() = default;

    virtual void put_head(answer_head head) = 0;

    /// @return false when the answer was cancelled; the producer must stop and close its
    /// connection
    virtual bool put_chunk(std::string chunk) = 0;

    virtual void finish() = 0;
    virtual void fail(attempt_failure failure) = 0;

    /// @brief Sets the action that interrupts a producer waiting for input; an empty action clears
    /// it.
    virtual void on_cancel(std::function<void()> action) = 0;
};

/// @brief Mutex and condition variable shared by streams that one consumer waits on.
struct stream_signal
{
    std::mutex mutex;
    std::condition_variable changed;
};

/// @brief Bytes that wait in all streams whose producer can't be made to wait. Thread-safe.
class offered_bytes
{
  public:
    static constexpr std::size_t limit = 67'108'864;

    void add(std::size_t count) { m_count += count; }
    void remove(std::size_t count) { m_count -= count; }
    std::size_t count() const { return m_count; }

    /// @brief Whether a stream that holds more than a part of its own may take no more.
    bool is_full() const { return m_count >= limit; }

  private:
    std::atomic<std::size_t> m_count{0};
};

/// @brief Bounded queue of one answer: head, chunks, then end or failure.
///
/// The producer blocks while the consumer is slow; `cancel` releases it. Thread-safe for one
/// producer and one consumer.
class answer_stream final : public answer_sink
{
  public:
    enum class state
    {
        waiting,
        streaming,
        finished,
        failed,
    };

    explicit answer_stream(std::shared_ptr<stream_signal> signal);
    ~answer_stream() override;
    answer_stream(const answer_stream&) = delete;
    answer_stream& operator=(const answer_stream&) = delete;

    /// @name Producer
    /// @{
    void put_head(answer_head head) override;
    bool put_chunk(std::string chunk) override;
    /// @brief As `put_chunk`, but never blocks; for a producer that serves many streams.
    /// @return false when cancelled, when the queue is full, or when all such streams hold too much
    /// and this one more than its part
    bool try_put_chunk(std::string chunk);
    /// @brief Counts what `try_put_chunk` queues together with other streams.
    void count_with(std::shared_ptr<offered_bytes> all);
    void finish() override;
    void fail(attempt_failure failure) override;
    void on_cancel(std::function<void()> action) override;
    bool is_cancelled() const;
    /// @}

    /// @name Consumer
    /// @{
    state current_state() const;
    /// @brief The head; only while `current_state()` is not `waiting`.
    const answer_head& head() const { return *m_head; }
    /// @brief True once a head has arrived.
    bool has_head() const;
    /// @brief True once a head, a failure or the end has arrived. The caller holds the signal's
    /// mutex.
    bool has_head_or_failure() const;
    /// @brief Waits for the next chunk.
    /// @return the chunk, or nothing on end, failure or after `limit`; `current_state()` tells
    /// which
    std::optional<std::string> next(core::duration limit);
    /// @brief The failure; only while `current_state()` is `failed`.
    attempt_failure failure() const;
    /// @brief True when finished and every chunk has been taken.
    bool is_drained() const;
    void cancel();
    /// @brief Interrupts a producer that waits for input on a silent connection. The producer fails
    /// or resumes over another connection; the answer is not cancelled.
    void interrupt();
    /// @}

    const std::shared_ptr<stream_signal>& signal() const { return m_signal; }

  private:
    static constexpr std::size_t max_queued_bytes = 262'144;
    static constexpr std::size_t max_offered_bytes = 8'388'608;

    std::shared_ptr<stream_signal> m_signal;
    std::shared_ptr<offered_bytes> m_offered; ///< of all streams that count with this one; or null
    std::optional<answer_head> m_head;
    std::deque<std::string> m_chunks;
    std::size_t m_queued_bytes = 0;
    bool m_is_finished = false;
    bool m_is_cancelled = false;
    std::optional<attempt_failure> m_failure;
    std::function<void()> m_on_cancel;
};

} // namespace snipeplank::gateway

#endif
