/// @file
/// Serving of one request, from its head to the last byte of its answer.

#ifndef SNIPEPLANK_SERVING_SRC_CALL_HPP
#define SNIPEPLANK_SERVING_SRC_CALL_HPP

#include <snipeplank/http/client.hpp>
#include <snipeplank/http/event_stream.hpp>
#include <snipeplank/http/server.hpp>
#include <snipeplank/serving/placement.hpp>
#include <snipeplank/serving/protocols.hpp>
#include <snipeplank/serving/routing_table.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "account_admission.hpp"
#include "attempt.hpp"
#include "call_log.hpp"
#include "call_statistics.hpp"
#include "crash_guard.hpp"
#include "held_answers.hpp"
#include "serving_end.hpp"
#include "state_admission.hpp"
#include "stream_binding.hpp"
#include "stream_durations.hpp"
#include "suspension_watch.hpp"

namespace snipeplank::serving
{

/// @brief What a node of another region is told of a call.
struct forwarding_options
{
    core::milliseconds remaining{0};
    policy::software_version_key software_version; ///< the only one at which it may run; 0: any
    core::account_id account;                      ///< as the entry node has found it; empty: none
    std::vector<core::address> tried_nodes = {};   ///< are not asked again
    core::config_version config_version = {};      ///< by which the entry node judges
    core::service_id service = {};                 ///< that it has chosen
};

/// @brief Creates attempts at nodes of other regions.
class region_caller
{
  public:
    virtual ~region_caller() = default;

    /// @brief Creates an attempt at a node of `region`; null when no other node there answers than
    /// those that were tried.
    virtual std::unique_ptr<attempt> call(const core::region_id& region,
                                          const http::request_head& request,
                                          const std::string& body,
                                          const forwarding_options& options) = 0;
};

/// @brief Objects shared by all calls of a node. They outlive the calls.
struct call_environment
{
    boost::asio::io_context& loop;
    http::connection_pool& pool;
    placement& places;
    const caller_protocol& callers;
    const upstream_protocol& upstreams;
    region_caller& regions;
    crash_guard& crashes;
    stream_directory& streams;
    account_admission& accounts;
    const state_admission& homes;
    call_log& log;
    call_statistics& statistics;
    std::shared_ptr<const routing_table> table; ///< null before the first configuration
    std::shared_ptr<serving_end> end = std::make_shared<serving_end>();
    std::shared_ptr<suspension_watch> suspensions = std::make_shared<suspension_watch>();
    std::shared_ptr<held_answers> answers = std::make_shared<held_answers>();
    std::shared_ptr<stream_durations> durations = std::make_shared<stream_durations>();
};

/// @brief Origin of a call that another region forwarded.
struct forwarded_from
{
    core::milliseconds remaining{0};
    std::function<void(const policy::refusal&)> refuse; ///< sends the refusal to the other node
    /// The only software version at which the request may run; 0: any.
    policy::software_version_key software_version{};
    core::account_id account = {}; ///< as the entry node has found it; empty: none
    /// Tells the other node which software version answers, before the answer begins.
    std::function<void(policy::software_version_key)> tell_version = nullptr;
    core::config_version config_version = {}; ///< by which the entry node judges; 0: not told
    core::service_id service = {};            ///< that it has chosen by that version
};

/// @brief Serves one request. Owned by the coroutine that runs it.
class call final : private serving_end::listener
{
  public:
    /// @param forwarded set when another region's node sent the request
    call(const call_environment& environment, http::exchange& request,
         std::optional<forwarded_from> forwarded);
    ~call() override;
    call(const call&) = delete;
    call& operator=(const call&) = delete;

    /// @brief Answers or refuses the request exactly once.
    boost::asio::awaitable<void> run();

  private:
    /// What to do after an attempt.
    enum class next_step
    {
        done,
        try_again,
    };

    bool prepare(policy::refusal& why);
    bool is_behind_entry() const;
    bool knows_choice_of_entry() const;
    bool may_outlast(core::time_point end) const;
    std::optional<policy::refusal> find_account();
    core::milliseconds time_limit() const;
    boost::asio::awaitable<void> refuse(policy::refusal why);
    boost::asio::awaitable<void> attempt_until_answered();
    boost::asio::awaitable<account_binding::charge_result> charge();
    core::milliseconds max_charge_wait() const;
    boost::asio::awaitable<next_step> attempt_once(const placement_decision& where);
    void record_statement(const policy::upstream_statement& said);
    boost::asio::awaitable<next_step> on_start(const attempt_start& result);
    boost::asio::awaitable<next_step> on_failed_start(const attempt_start& result);
    boost::asio::awaitable<next_step> forward_stream(const attempt_start& result);
    boost::asio::awaitable<next_step> forward_buffered(const attempt_start& result);
    static bool is_too_long(const attempt_start& result);
    bool may_hold(std::size_t bytes) const;
    boost::asio::awaitable<bool> write_held(http::response& answer);
    boost::asio::awaitable<next_step> on_broken_answer(const attempt_start& result);
    boost::asio::awaitable<bool> write_stream(const attempt_start& result, std::string_view events);
    boost::asio::awaitable<bool> find_origin();
    boost::asio::awaitable<next_step> on_broken_stream();
    void record_event();
    void record_failure(const core::result<http::body_chunk>& chunk);
    std::string health_path() const;
    admission admit(const upstream_id& target, policy::connection_record& over);
    std::unique_ptr<attempt> make_attempt(const placement_decision& where);
    placement_request next_request() const;
    bool should_wait_for_upstream(const placement_decision& where) const;
    boost::asio::awaitable<void> wait_for_upstream();
    bool may_retry(bool proven_not_run);
    bool take_retry();
    bool is_within_attempt_limits(unsigned runs) const;
    next_step retry(policy::retry_reason reason);
    std::size_t forgiven_crashes() const;
    void update_homes();
    std::optional<policy::refusal> home_refusal() const;
    std::optional<policy::refusal> quarantine_refusal() const;
    static bool is_quarantined_elsewhere(const attempt_start& result);
    static bool is_fault_of_node(const attempt_start& result);
    void allow_region_again();
    policy::refusal refusal_of(const attempt_start& result) const;
    bool is_beginning_of_answer() const;
    bool may_have_crashed_upstream() const;
    void report_broken_upstream();
    void report_whole_answer(const http::body_chunk& last);
    void report();
    void end_attempt(attempt_end how);
    void start_deadline();
    void on_deadline();
    void on_serving_end(core::time_point at) override;
    void end_with_node(core::time_point at);
    void schedule_silence_check();
    void on_silence_check();
    bool is_upstream_silent() const;
    bool reserve_other_attempt();
    void on_client_disconnected();
    void give_up_attempt(cut_cause why);
    cut_cause who_cut_answer() const;
    core::milliseconds remaining() const;
    policy::refusal final_refusal() const;

    const call_environment& m_environment;
    std::shared_ptr<serving_end> m_end;
    http::exchange& m_exchange;
    std::optional<forwarded_from> m_forwarded;
    std::shared_ptr<const routing_table> m_table;
    caller_request m_caller;
    const route* m_route = nullptr;
    core::service_id m_service;
    core::time_point m_deadline{};
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_silence_timer;
    std::unique_ptr<attempt> m_attempt;
    std::optional<std::uint64_t> m_attempt_number;
    request_parts m_parts;
    std::optional<upstream> m_current_upstream; ///< none for a call to another region
    core::time_point m_attempt_sent{};
    std::vector<upstream_id> m_tried;
    /// They are not asked again, unless a stream that has begun waits for them.
    std::vector<upstream_id> m_turned_away_by;
    std::vector<core::region_id> m_tried_regions; ///< are not asked again
    std::vector<core::address> m_tried_nodes;     ///< of other regions
    stream_binding m_stream;
    account_binding m_account;
    home_regions m_homes; ///< by the version of `m_table` and that of `m_homes_table`: both bind
    std::shared_ptr<const routing_table> m_homes_table;
    http::event_splitter m_events;
    std::string m_media_type; ///< of the stream that was begun
    std::string m_resume_from;
    call_outcome_line m_line;
    core::time_point m_last_event{};
    core::time_point m_waits_until{};           ///< for an upstream that goes on with the stream
    cut_cause m_given_up_for = cut_cause::none; ///< why this node gave up the current attempt
    int m_silent_checks = 0;                    ///< consecutive ones that found silence
    unsigned m_runs = 0;                        ///< attempts that may have run
    unsigned m_sends = 0;                       ///< attempts of which a byte may have been received
    unsigned m_broken_beginnings = 0;  ///< attempts that broke off when their answer had just begun
    unsigned m_events_received = 0;    ///< reads of the current attempt that completed events
    bool m_awaits_answer = false;      ///< the current attempt has no answer head yet
    bool m_has_reserved_retry = false; ///< taken from the retry budget, not used yet
    bool m_was_unreachable = false;    ///< no connection could be made for the last attempt
    bool m_is_waiting = false;         ///< for an upstream that goes on with the stream
    bool m_may_have_run = false;
    bool m_is_expired = false;
    bool m_ends_with_node = false; ///< the deadline is that of a stopping node
    bool m_client_is_gone = false;
    std::shared_ptr<call*> m_self; ///< expires with the call, so that a late timer does not use it
};

} // namespace snipeplank::serving

#endif
