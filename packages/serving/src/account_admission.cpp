#include "account_admission.hpp"

#include <snipeplank/serving/host_time.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace snipeplank::serving
{

namespace asio = boost::asio;

namespace
{

/// Units that a request costs.
double units_of(const caller_request& request, const policy::quota_limit& limit)
{
    if (limit.unit == policy::quota_unit::request)
        return 1;
    return request.names_tokens ? request.prompt_tokens + request.max_output_tokens
                                : limit.uncounted;
}

/// Units a second by which the quotas of the accounts with a limit fill.
std::map<policy::quota_key, double> fill_rates(const account_table& accounts,
                                               const policy::quota_bound& bound)
{
    std::map<policy::quota_key, double> rates;
    for (const auto& [name, account] : accounts.accounts())
    {
        if (!account.quota.is_limited())
            continue;
        rates[policy::quota_key_of(name)] = policy::fill_rate(account.quota, bound);
    }
    return rates;
}

} // namespace

account_admission::account_admission(account_terms terms, const configuration_evidence& evidence,
                                     std::uint64_t instance, policy::quota_network& network)
    : m_terms(terms), m_evidence(evidence), m_quotas(instance, network)
{
}

void account_admission::set_table(const routing_table& table)
{
    std::map<policy::quota_key, double> rates;
    if (table.accounts)
        rates = fill_rates(*table.accounts, m_terms.quotas);
    m_quotas.set_limits(rates, host_time());
}

std::optional<policy::refusal> account_admission::identify(const routing_table& table,
                                                           const route& chosen,
                                                           const caller_request& request,
                                                           const client_account*& found) const
{
    found = nullptr;
    if (!table.accounts)
        return std::nullopt;
    found = request.key.empty() ? nullptr : table.accounts->find_by_key(request.key);
    if (chosen.is_public && (found != nullptr || request.key.empty()))
        return std::nullopt;
    // An unknown key may have been added since, on a public route with regions of its account.
    if (!m_terms.revocation.allow(m_evidence.confirmed_age()))
        return unconfirmed_refusal();
    if (found != nullptr || chosen.is_public)
        return std::nullopt;
    return policy::refusal{policy::refusal_reason::unauthorized, policy::execution::no,
                           "send one key of a client account", core::milliseconds{0}};
}

account_binding::~account_binding()
{
    if (m_charge && m_charge->status() == policy::quota_charge::state::granted)
        m_admission.quotas().give_back(m_charge, host_time());
}

std::optional<policy::refusal> account_binding::identify(const routing_table& table,
                                                         const route& chosen,
                                                         const caller_request& request)
{
    if (!table.accounts)
        return std::nullopt;
    if (auto refused = m_admission.identify(table, chosen, request, m_account))
        return refused;
    m_name = m_account == nullptr ? core::account_id{} : m_account->name;
    if (m_account != nullptr && !chosen.is_public && m_account->quota.is_limited())
        m_units = units_of(request, m_account->quota);
    return std::nullopt;
}

std::optional<policy::refusal> account_binding::set_forwarded(const routing_table& table,
                                                              const route& chosen,
                                                              const caller_request& request,
                                                              core::account_id name)
{
    const bool names_account = !name.get().empty();
    if (!names_account && !table.accounts)
        return std::nullopt;
    // A node without accounts yet passes keys on, and asks for none.
    if (!names_account && (!chosen.is_public || !request.key.empty()))
        return unconfirmed_refusal();
    m_account = table.accounts ? table.accounts->find(name) : nullptr;
    // What the account allows is not known here.
    if (names_account && m_account == nullptr)
        return unconfirmed_refusal();
    m_name = std::move(name);
    return std::nullopt;
}

unsigned account_binding::priority(const route& chosen) const
{
    return m_account == nullptr ? chosen.priority : m_account->priority.value_or(chosen.priority);
}

bool account_binding::is_charged() const
{
    return !is_limited() || (m_charge && m_charge->is_fresh(host_time()));
}

asio::awaitable<account_binding::charge_result> account_binding::charge(asio::io_context& loop,
                                                                        core::milliseconds max_wait)
{
    using state = policy::quota_charge::state;
    if (is_charged())
        co_return charge_result::ready;
    policy::quota_exchange& quotas = m_admission.quotas();
    const core::time_point began = host_time();
    m_charge = quotas.charge(policy::quota_key_of(m_account->name), m_units, max_wait, began);
    const bool has_waited = m_charge->status() == state::waiting;
    if (has_waited)
    {
        const auto charged = m_charge;
        asio::steady_timer timer(loop, charged->waits_until() - began);
        charged->on_settled([&timer] { timer.cancel(); });
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        charged->on_settled(nullptr);
        quotas.give_up(charged, host_time());
    }
    if (m_charge->status() == state::granted)
        co_return has_waited ? charge_result::waited : charge_result::ready;
    m_retry_after = m_charge->retry_after();
    m_charge.reset();
    co_return charge_result::refused;
}

policy::refusal account_binding::refusal() const
{
    return {policy::refusal_reason::account_limit, policy::execution::no,
            "the client account has used its quota: come back after the time given", m_retry_after};
}

} // namespace snipeplank::serving
