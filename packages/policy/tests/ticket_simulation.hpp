/// @file
/// Simulation for properties of the ticket exchange: callers, two entry nodes, an issuing node that
/// restarts or stops, its successor, an upstream, and a network that loses, repeats, reorders and
/// delays messages.

#ifndef SNIPEPLANK_POLICY_TESTS_TICKET_SIMULATION_HPP
#define SNIPEPLANK_POLICY_TESTS_TICKET_SIMULATION_HPP

#include <snipeplank/core/random.hpp>
#include <snipeplank/policy/answer_assembly.hpp>
#include <snipeplank/policy/reserved_call.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace snipeplank::policy::tests
{

/// @brief One generated step; `a` and `b` select among the present tickets, attempts and packets.
struct simulation_command
{
    std::uint8_t kind = 0;
    std::uint16_t a = 0;
    std::uint16_t b = 0;
};

/// @brief A call that an upstream received.
struct execution_record
{
    std::size_t ticket = 0;
    std::string body;
    call_key attempt;
    std::uint64_t step = 0;
    bool has_executed = false; ///< false when the upstream refused before execution
    std::string answer;
};

/// @brief One attempt of a caller and its final answer.
struct attempt_record
{
    std::size_t ticket = 0;
    std::string body;
    call_key key;
    std::uint64_t begun = 0;
    core::time_point deadline;

    int answers = 0; ///< final answers to the caller; more than one is an error
    std::optional<refusal> refused;
    std::string answer;
    core::time_point answered_at;
    bool is_issuer_gone = false; ///< at the time of the answer

    std::unique_ptr<entry_call> call;
    std::unique_ptr<answer_assembly> assembly;
    std::string assembled;
};

/// @brief Kinds of faults that a simulation may inject.
struct simulation_faults
{
    bool has_loss = false;
    bool has_repeats = false;
    bool has_pauses = false;
    bool has_restarts = false;
    bool has_stops = false;
    bool has_upstream_failures = false;
};

/// @brief Deterministic simulation; `apply` runs one step.
class ticket_simulation
{
  public:
    explicit ticket_simulation(simulation_faults faults);

    void apply(const simulation_command& command);

    /// @brief Stops all faults and runs until every attempt has finished.
    void run_to_completion();

    /// @brief Runs a new attempt for a ticket without faults and returns it with its final answer.
    const attempt_record& ask_without_faults(std::size_t ticket);

    const std::vector<execution_record>& executions() const { return m_executions; }
    const std::vector<std::unique_ptr<attempt_record>>& attempts() const { return m_attempts; }
    std::size_t ticket_count() const { return m_tickets.size(); }
    bool is_issuer_alive(std::size_t ticket) const;
    bool has_unknown_upstream_result(std::size_t ticket) const;
    bool is_expired(std::size_t ticket) const;

  private:
    struct ticket_info
    {
        std::string text;
        std::uint64_t incarnation = 0;
        core::time_point expires_at;
        bool has_unknown_result = false;
    };

    // Messages to the issuing node.
    struct reserve_message
    {
        std::string ticket;
        std::string body;
    };
    struct commit_message
    {
        std::string ticket;
        std::string body;
        reservation_number number;
        core::milliseconds remaining{0};
    };
    struct ask_message
    {
        std::string ticket;
    };
    struct cancel_message
    {
        std::string ticket;
    };
    // Messages to an entry node.
    struct reserved_message
    {
        reservation_number number;
    };
    struct outcome_message
    {
        call_outcome outcome;
    };
    struct head_message
    {
    };
    struct chunk_message
    {
        std::uint64_t offset = 0;
        std::string data;
    };
    struct end_message
    {
        std::uint64_t length = 0;
        std::uint64_t checksum = 0;
    };
    using payload =
        std::variant<reserve_message, commit_message, ask_message, cancel_message, reserved_message,
                     outcome_message, head_message, chunk_message, end_message>;
    static constexpr std::size_t kinds_to_issuer = 4;
    struct packet
    {
        call_key attempt;
        payload body;
    };
    struct running_call
    {
        ticket_id id;
        call_key attempt;
        std::string body;
        std::size_t ticket = 0;
        bool is_sent = false;
        bool is_streamed = false;
        call_outcome result;
    };

    void apply_fault(const simulation_command& command);
    void start_issuer();
    void issue_ticket();
    attempt_record& begin_attempt(std::size_t ticket, std::size_t entry, bool is_other_body,
                                  core::milliseconds time_left);
    void ask_successor(attempt_record& attempt);
    void lose_connections();
    void disconnect_caller(attempt_record& attempt);
    void deliver(std::size_t index);
    void to_entry(attempt_record& attempt, const payload& body);
    void answer_to_entry(attempt_record& attempt, const payload& body);
    void to_issuer(const call_key& from, const payload& body);
    void perform(attempt_record& attempt, const entry_actions& actions);
    void perform(const issuer_actions& actions);
    void run_upstream(std::size_t index, std::uint16_t choice);
    void send_upstream(running_call& call, std::uint16_t choice);
    void stream(const call_key& to, const std::string& answer);
    void tick_issuer();
    void tick_attempt(attempt_record& attempt);
    void stop_issuer(std::uint16_t choice);
    void give(attempt_record& attempt, std::string answer);
    attempt_record& find(const call_key& key);
    std::size_t ticket_of(const std::string& text) const;
    bool is_paused(const core::address& node) const;

    simulation_faults m_faults;
    core::seeded_random m_random{1};
    core::time_point m_now{core::seconds(1'000)};
    std::uint64_t m_step = 0;
    std::uint64_t m_incarnation = 0;
    std::uint64_t m_last_call = 0;
    std::vector<ticket_info> m_tickets;
    std::unique_ptr<ticket_table> m_table;
    std::unique_ptr<issuer_calls> m_issuer;
    successor_table m_successor;
    std::vector<running_call> m_running;
    std::vector<packet> m_network;
    std::vector<std::unique_ptr<attempt_record>> m_attempts;
    std::vector<execution_record> m_executions;
    std::map<core::address, bool> m_paused;
};

} // namespace snipeplank::policy::tests

#endif
