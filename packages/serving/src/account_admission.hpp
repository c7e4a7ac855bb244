/// @file
/// Decides by its client account whether a request may be served.

#ifndef SNIPEPLANK_SERVING_SRC_ACCOUNT_ADMISSION_HPP
#define SNIPEPLANK_SERVING_SRC_ACCOUNT_ADMISSION_HPP

#include <snipeplank/policy/quota_exchange.hpp>
#include <snipeplank/policy/refusal.hpp>
#include <snipeplank/serving/account_terms.hpp>
#include <snipeplank/serving/protocols.hpp>
#include <snipeplank/serving/routing_table.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <memory>
#include <optional>

#include "state_admission.hpp"

namespace snipeplank::serving
{

/// @brief The accounts of a node: keys, the lease on the configuration, and quotas. Used on the
/// event loop only.
class account_admission
{
  public:
    /// @param evidence outlives the object
    /// @param instance random number of this process
    /// @param network outlives the object
    account_admission(account_terms terms, const configuration_evidence& evidence,
                      std::uint64_t instance, policy::quota_network& network);

    /// @brief Sets the limits of the accounts. O(accounts).
    void set_table(const routing_table& table);

    /// @brief Finds the account of a request.
    /// @param[out] found the account; null if the request has none and needs none
    /// @return why the request is refused, or nothing
    std::optional<policy::refusal> identify(const routing_table& table, const route& chosen,
                                            const caller_request& request,
                                            const client_account*& found) const;

    policy::quota_exchange& quotas() { return m_quotas; }
    const policy::quota_exchange& quotas() const { return m_quotas; }

  private:
    account_terms m_terms;
    const configuration_evidence& m_evidence;
    policy::quota_exchange m_quotas;
};

/// @brief The account of one call. Used on the event loop only.
///
/// A charge covers one run of the request: it is given back if the request has not run, and a
/// further run needs another one.
class account_binding
{
  public:
    /// How the charge before an attempt went.
    enum class charge_result
    {
        ready,
        waited, ///< charged after a wait, during which other decisions may have become old
        refused,
    };

    /// @param admission outlives the object
    explicit account_binding(account_admission& admission) : m_admission(admission) {}
    ~account_binding();
    account_binding(const account_binding&) = delete;
    account_binding& operator=(const account_binding&) = delete;

    /// @brief Finds the account of a caller's request.
    /// @return why the request is refused, or nothing
    std::optional<policy::refusal> identify(const routing_table& table, const route& chosen,
                                            const caller_request& request);

    /// @brief Sets the account that the entry node of a forwarded call has found.
    /// @param name empty: the entry node has found none
    /// @return why the call is refused, or nothing; a name that the configuration of this node does
    /// not hold is refused as unconfirmed
    std::optional<policy::refusal> set_forwarded(const routing_table& table, const route& chosen,
                                                 const caller_request& request,
                                                 core::account_id name);

    /// @brief The account, or null.
    const client_account* account() const { return m_account; }

    /// @brief Name to tell upstreams; nothing where the configuration lists no accounts.
    const std::optional<core::account_id>& name() const { return m_name; }

    /// @brief Priority of the request on this route.
    unsigned priority(const route& chosen) const;

    /// @brief Whether the request may be sent on its charge now, or needs none.
    bool is_charged() const;

    /// @brief Charges the next run, unless it is charged.
    /// @param max_wait longest wait for units
    boost::asio::awaitable<charge_result> charge(boost::asio::io_context& loop,
                                                 core::milliseconds max_wait);

    /// @brief The refusal after `charge` has refused.
    policy::refusal refusal() const;

    /// @brief Records that the request may have run on its charge.
    void on_may_have_run() { m_charge.reset(); }

  private:
    bool is_limited() const { return m_units > 0; }

    account_admission& m_admission;
    const client_account* m_account = nullptr;
    std::optional<core::account_id> m_name;
    double m_units = 0; ///< that a run costs; 0: no limit
    std::shared_ptr<policy::quota_charge> m_charge;
    core::milliseconds m_retry_after{0};
};

} // namespace snipeplank::serving

#endif
