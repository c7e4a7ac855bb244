/// @file
/// Splits a stream of server-sent events into whole events.

#ifndef SNIPEPLANK_HTTP_EVENT_STREAM_HPP
#define SNIPEPLANK_HTTP_EVENT_STREAM_HPP

#include <string>
#include <string_view>

namespace snipeplank::http
{

/// @brief Collects bytes and hands out whole events only.
///
/// A connection may break inside an event; the partial event is dropped, so that a resumed stream
/// continues with a whole one.
/// @code
/// event_splitter splitter;
/// std::string whole = splitter.feed(bytes);
/// @endcode
class event_splitter
{
  public:
    /// @brief Adds bytes.
    /// @return the events that are complete now, with their terminating blank lines; may be empty
    /// O(n) in the bytes held.
    std::string feed(std::string_view bytes);

    /// @brief Drops the partial event, before a resumed stream starts.
    void begin_resume()
    {
        m_pending.clear();
        m_is_resumed = true;
    }

    /// @brief True once a resumed stream has sent its first event again.
    ///
    /// An engine that ignores `Last-Event-ID` does so. Its events are not handed out, because the
    /// caller would receive the start of the answer twice.
    bool starts_over() const { return m_starts_over; }

    /// @brief Bytes of the event that is not complete yet.
    std::size_t pending_size() const { return m_pending.size(); }

    /// @brief The `id` of the last whole event that had one.
    const std::string& last_event_id() const { return m_last_event_id; }

    /// @brief True once the event `data: [DONE]` has been seen.
    bool is_done() const { return m_is_done; }

  private:
    void inspect(std::string_view event);
    void take_id(std::string_view id);

    std::string m_pending;
    std::string m_first_event_id;
    std::string m_last_event_id;
    bool m_is_resumed = false;
    bool m_starts_over = false;
    bool m_is_done = false;
};

} // namespace snipeplank::http

#endif
