/// @file
/// Calls that may run at most once: both ends of the reserve/commit exchange on this node.

#ifndef SNIPEPLANK_GATEWAY_TICKET_SERVICE_HPP
#define SNIPEPLANK_GATEWAY_TICKET_SERVICE_HPP

#include <snipeplank/core/random.hpp>
#include <snipeplank/gateway/call_number_generator.hpp>
#include <snipeplank/gateway/config_cell.hpp>
#include <snipeplank/gateway/decision_log.hpp>
#include <snipeplank/gateway/fleet_view.hpp>
#include <snipeplank/gateway/metrics.hpp>
#include <snipeplank/gateway/ticket_runner.hpp>
#include <snipeplank/gateway/wire_call.hpp>
#include <snipeplank/gateway/worker_pool.hpp>
#include <snipeplank/policy/answer_assembly.hpp>
#include <snipeplank/policy/reserved_call.hpp>
#include <snipeplank/policy/ticket_table.hpp>
#include <snipeplank/wire/peer_network.hpp>

#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>

namespace snipeplank::gateway
{

using ticketed_result = std::variant<policy::upstream_answer, policy::refusal>;

/// @brief Whether the outcome reports only that the issuing incarnation is gone.
bool is_issuer_gone(const policy::call_outcome& outcome);

/// @brief Issues tickets, runs ticketed calls and reports their outcomes.
///
/// An attempt whose ticket this node issued takes the same steps as one from a peer, without
/// the network. Message functions run on the network's I/O thread and never block.
class ticket_service
{
  public:
    struct parts
    {
        node_location self;
        wire::peer_network& network;
        const config_cell& config;
        const fleet_view_cell& view;
        call_number_generator& numbers;
        ticket_runner& runner;
        worker_pool& workers;
        decision_log& log;
        metrics& counters;
    };

    explicit ticket_service(parts with);

    /// @brief Issues a ticket for a service.
    policy::issue_result issue(const core::service_id& service);

    /// @brief Runs a caller's call to its answer or refusal; blocks until then.
    ticketed_result run(const call& request, call_record& record);

    /// @brief Looks up the outcome of a ticket; waits for its issuer up to a timeout.
    /// @return nothing while the call runs or the issuer does not answer
    std::optional<policy::call_outcome> look_up(const std::string& ticket);

    /// @brief Handles a message of the reserve/commit exchange.
    /// @return false when the message belongs to no attempt here
    bool on_message(const wire::peer_identity& from, const wire::message& received);

    void on_connection_lost(const core::address& peer);
    void on_unreachable(const core::address& peer);

    /// @brief Removes expired entries. Call about once a second.
    void expire();

    /// @brief Number of attempts waiting on this node plus calls running on it.
    std::size_t in_flight() const;

    /// @brief Freezes the table and sends all outcomes to one successor.
    ///
    /// Call once nothing is in flight. Blocks until each part is acknowledged or `limit` has
    /// passed.
    /// @return true when there was nothing to hand over or the successor has acknowledged all parts
    bool hand_over(core::milliseconds limit);

  private:
    /// One attempt or lookup whose caller waits on this node.
    struct attempt
    {
        policy::entry_call machine;
        core::node_id issuer;
        std::string ticket;
        std::shared_ptr<const call> request; ///< null for a lookup
        std::condition_variable changed;
        std::optional<ticketed_result> result;
        std::optional<policy::call_outcome> looked_up;
        policy::answer_assembly assembly;
        policy::upstream_answer streamed;
        std::set<core::address> pending_successors;
        std::optional<core::time_point> successor_deadline;

        explicit attempt(core::time_point deadline) : machine(deadline) {}
    };

    using attempt_ptr = std::shared_ptr<attempt>;

    // Entry side.
    ticketed_result wait_for_result(core::call_number number, const attempt_ptr& entry);
    void perform(core::call_number number, const attempt_ptr& entry,
                 const policy::entry_actions& actions);
    void perform_one(core::call_number number, const attempt_ptr& entry,
                     const policy::entry_action& action);
    void finish(const attempt_ptr& entry, ticketed_result result);
    core::call_number add(const attempt_ptr& entry);
    void remove(core::call_number number);
    bool is_listed(const core::address& issuer) const;
    attempt_ptr find(core::call_number number) const;
    std::vector<std::pair<core::call_number, attempt_ptr>>
    attempts_at(const core::address& issuer) const;
    void on_outcome(core::call_number number, const attempt_ptr& entry,
                    const policy::call_outcome& outcome, const core::address& from);
    void query_successors(core::call_number number, const attempt_ptr& entry);
    void on_successor_answer(core::call_number number, const attempt_ptr& entry,
                             const policy::call_outcome& outcome, const core::address& from);
    bool on_stream(const wire::peer_identity& from, const wire::message& received);
    void apply_assembly_step(core::call_number number, const attempt_ptr& entry,
                             policy::assembly_step step);
    void send_to_issuer(const core::address& issuer, const wire::message& message);
    bool is_own(const core::address& issuer) const;

    // Issuer side.
    void on_reserve(const policy::call_key& from, const wire::reserve& received);
    void on_commit(const wire::peer_identity& from, const wire::commit& received);
    void on_outcome_request(const policy::call_key& from, const wire::outcome_request& received);
    void perform(const policy::issuer_actions& actions);
    void run_committed(const policy::run_call& what, const wire::peer_identity& from,
                       wire::call_request request);
    void send_to_entry(const policy::call_key& to, const wire::message& message);
    bool stream_if_large(const policy::call_key& to, const policy::call_outcome& outcome);
    void on_handover(const wire::peer_identity& from, const wire::handover& received);

    wire::peer_identity own_identity() const;

    parts m_parts;

    mutable std::mutex m_issuer_mutex; ///< serialises commits: at most one attempt runs a ticket
    policy::ticket_table m_table;
    policy::issuer_calls m_issuer;
    policy::successor_table m_successor;
    core::seeded_random m_random;

    mutable std::mutex m_entry_mutex;
    std::unordered_map<core::call_number, attempt_ptr> m_attempts;

    std::mutex m_handover_mutex;
    std::condition_variable m_handover_changed;
    std::set<std::uint32_t> m_acknowledged;
};

} // namespace snipeplank::gateway

#endif
