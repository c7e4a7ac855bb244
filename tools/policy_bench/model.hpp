/// @file
/// Queueing model of engines in virtual time. Only the engines are modelled.

#ifndef SNIPEPLANK_TOOLS_POLICY_BENCH_MODEL_HPP
#define SNIPEPLANK_TOOLS_POLICY_BENCH_MODEL_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <queue>
#include <vector>

namespace snipeplank::bench
{

/// @brief Event queue; events with equal times run in the order in which they were added.
class timeline
{
  public:
    using event = std::function<void()>;

    double now() const { return m_now; }
    void after(double ms, event action);

    /// @brief Runs events up to `end_ms`.
    void run(double end_ms);

  private:
    struct entry
    {
        double at;
        std::uint64_t order;
        event action;
    };
    struct later
    {
        bool operator()(const entry& a, const entry& b) const
        {
            return a.at != b.at ? a.at > b.at : a.order > b.order;
        }
    };

    double m_now = 0;
    std::uint64_t m_next = 0;
    std::priority_queue<entry, std::vector<entry>, later> m_events;
};

/// @brief One call at an engine.
struct job
{
    std::uint64_t prefix = 0;
    double suffix_tokens = 0;
    double answer_tokens = 0;
    std::function<void()> on_first_token;
    std::function<void()> on_end;
    std::function<void()> on_failure;
    bool is_running = false;
    bool is_over = false;
};

/// @brief Parameters of one engine.
struct engine_parameters
{
    std::size_t slots = 16;
    std::size_t cached_prefixes = 20;
    double prefix_tokens = 1'500;
    double prefill_ms_per_token = 0.08;
    double decode_ms_per_token = 25; ///< with all slots running
};

/// @brief Engine with continuous batching: prefill is serial, decoding shares limited slots, and a
/// least-recently-used cache of prefixes makes prefill cheaper on a hit.
class engine
{
  public:
    engine(timeline& time, engine_parameters parameters) : m_time(time), m_parameters(parameters) {}

    void submit(const std::shared_ptr<job>& call);
    void cancel(const std::shared_ptr<job>& call);

    /// @brief Multiplies every duration of calls that start from now on.
    void set_slowness(double factor) { m_slowness = factor; }
    void drop_cache() { m_cache.clear(); }
    void fail();

    bool is_alive() const { return m_is_alive; }
    std::size_t running() const { return m_running; }
    std::size_t waiting() const;
    double kv_use() const;
    double busy_seconds() const { return m_busy_ms / 1'000; }

  private:
    void start(const std::shared_ptr<job>& call);
    void end(const std::shared_ptr<job>& call);
    void start_waiting_calls();
    bool access_cache(std::uint64_t prefix);

    timeline& m_time;
    engine_parameters m_parameters;
    std::deque<std::shared_ptr<job>> m_queue;
    std::list<std::shared_ptr<job>> m_started;
    std::list<std::uint64_t> m_cache; ///< most recently used first
    std::size_t m_running = 0;
    double m_prefill_free_at = 0;
    double m_slowness = 1;
    double m_busy_ms = 0;
    bool m_is_alive = true;
};

} // namespace snipeplank::bench

#endif
