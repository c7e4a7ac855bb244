/// @file
/// One run of a scenario: seeded arrivals are routed to model engines.

#ifndef SNIPEPLANK_TOOLS_POLICY_BENCH_SCENARIOS_HPP
#define SNIPEPLANK_TOOLS_POLICY_BENCH_SCENARIOS_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "model.hpp"
#include "routers.hpp"

namespace snipeplank::bench
{

class run;

/// @brief Load, faults and measured period of a scenario.
struct scenario
{
    std::string name;
    double end_ms = 60'000;
    double measure_from_ms = 10'000; ///< caches are warm by then
    double measure_to_ms = 60'000;
    bool callers_retry_eagerly = false;
    settings::routing_weights weights;
    std::function<double(std::size_t region, double now)> rate; ///< calls per second
    std::function<void(run&)> script;                           ///< schedules the faults
};

/// @brief Figures of one run, for requests that arrived in the measured period.
struct figures
{
    std::uint64_t offered = 0;
    std::uint64_t good = 0;         ///< whole answer within the deadline
    std::uint64_t good_in_time = 0; ///< whole answers within the deadline that ended in the
                                    ///< measured period, whenever they arrived
    std::uint64_t late = 0;
    std::uint64_t failed = 0;
    std::map<std::string, std::uint64_t> refused;
    std::vector<double> first_token_ms; ///< unanswered calls that were not refused count 10 s
    std::uint64_t sent_to_remote = 0;
    double link_bytes = 0;
    std::uint64_t first_attempts = 0;
    std::uint64_t retries = 0;
    std::uint64_t hedges = 0;
    std::uint64_t answered_in_run = 0; ///< of the whole run, as `engine_seconds()` is
};

/// @brief State of one run.
class run
{
  public:
    run(const scenario& plan, const std::string& kind, std::uint64_t seed);

    /// @brief Runs the scenario to its end.
    figures play();

    /// @brief Seconds of engine time used in the whole run.
    double engine_seconds() const;

    timeline time;
    fleet_topology topology;
    std::vector<engine> engines;
    std::vector<bool> is_cut_off; ///< by region: no traffic to and from other regions
    bool are_reports_frozen = false;

    /// @brief Reports to all routers which engines are alive.
    void publish_engines();

  private:
    struct attempt
    {
        policy::attempt_id id{0};
        std::size_t engine = 0;
        bool is_remote = false;
        bool has_engine = false;
        bool is_open = true;
        std::shared_ptr<job> work;
        router* remote = nullptr;
        policy::attempt_id remote_id{0};
    };
    struct request
    {
        std::size_t region = 0;
        std::size_t node = 0;
        double arrived = 0;
        double deadline = 0;
        policy::call_view view;
        double suffix_tokens = 0;
        double answer_tokens = 0;
        std::vector<std::shared_ptr<attempt>> attempts;
        std::shared_ptr<attempt> winner;
        bool is_over = false;
        bool is_measured = false;
        unsigned repeated_calls = 0;
    };
    using request_ptr = std::shared_ptr<request>;
    using attempt_ptr = std::shared_ptr<attempt>;

    void schedule_arrival(std::size_t region);
    void arrive(std::size_t region);
    void start(const request_ptr& call, policy::attempt_kind kind);
    void send_to_engine(const request_ptr& call, const attempt_ptr& sent, double one_way);
    void send_to_region(const request_ptr& call, const attempt_ptr& sent, std::size_t region);
    void schedule_hedge(const request_ptr& call, const attempt_ptr& sent);
    void on_first_token(const request_ptr& call, const attempt_ptr& sent);
    void on_end(const request_ptr& call, const attempt_ptr& sent);
    void on_failure(const request_ptr& call, const attempt_ptr& sent, policy::retry_reason reason,
                    policy::attempt_outcome outcome);
    void on_refused(const request_ptr& call, const std::string& reason);
    void on_deadline(const request_ptr& call);
    void repeat_call_if_unanswered(const request_ptr& call);
    void close(const request_ptr& call, const attempt_ptr& sent, policy::attempt_outcome outcome);
    void abandon(const request_ptr& call, const attempt_ptr& sent);
    void report_loads();
    void report_regions();
    void count_link(const request_ptr& call);

    const scenario& m_plan;
    std::vector<std::unique_ptr<router>> m_routers;
    core::seeded_random m_random;  ///< of the arrivals, the same for every policy
    core::seeded_random m_choices; ///< of the model itself
    figures m_figures;
    std::vector<std::vector<double>> m_last_reports;
};

/// @brief The scenarios, in the order of docs/measurements.md.
std::vector<scenario> make_scenarios();

} // namespace snipeplank::bench

#endif
