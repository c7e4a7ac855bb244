/// @file
/// Splits a stream of server-sent events into whole events.

#ifndef SNIPEPLANK_HTTP_EVENT_STREAM_HPP
#define SNIPEPLANK_HTTP_EVENT_STREAM_HPP

#include <cstddef>
#include <string>
#include <string_view>

namespace snipeplank::http
{

/// @brief Buffers bytes and returns whole events only.
///
/// A connection may break inside an event. The partial event is dropped, so that a resumed stream
/// continues with a whole event.
/// @code
/// event_splitter splitter;
/// std::string whole = splitter.feed(bytes);
/// @endcode
class event_splitter
{
  public:
    /// Largest event; longer ones are treated as bytes that are no event.
    static constexpr std::size_t max_event_bytes = 1'048'576;

    /// @brief Adds bytes.
    /// @return the events that are complete now, with their terminating blank lines; may be empty
    /// O(n) in the added bytes and the completed events.
    std::string feed(std::string_view bytes);

    /// @brief Drops the partial event, before a resumed stream starts.
    void begin_resume()
    {
        m_pending.clear();
        m_searched = 0;
        m_is_resumed = true;
    }

    /// @brief Whether a resumed stream has repeated the first event of the answer.
    ///
    /// An engine that ignores `Last-Event-ID` starts the answer over. Its events are dropped,
    /// because the caller would receive the start of the answer twice.
    bool starts_over() const { return m_starts_over; }

    /// @brief Removes and returns the buffered bytes if they are line ends only. Such bytes after
    /// the last event belong to no event, but to the answer.
    std::string take_line_ends();

    /// @brief Buffered bytes of the incomplete event.
    std::size_t pending_size() const { return m_pending.size(); }

    /// @brief Whether the incomplete event exceeds `max_event_bytes`. The caller gives up the
    /// stream then.
    bool is_too_large() const { return m_pending.size() > max_event_bytes; }

    /// @brief The `id` of the last whole event that had one.
    const std::string& last_event_id() const { return m_last_event_id; }

    /// @brief Whether the final event `data: [DONE]` was received.
    bool is_done() const { return m_is_done; }

  private:
    void parse_event(std::string_view event);
    void record_id(std::string_view id);

    std::string m_pending;
    std::size_t m_searched = 0; ///< leading bytes of `m_pending` in which no event ends
    std::string m_first_event_id;
    std::string m_last_event_id;
    bool m_is_resumed = false;
    bool m_starts_over = false;
    bool m_is_done = false;
};

} // namespace snipeplank::http

#endif
