#include "state_admission.hpp"

namespace snipeplank::serving
{

namespace
{

/// Retry-after while the state is not confirmed: the store may answer at any time.
constexpr core::milliseconds unconfirmed_retry{500};

} // namespace

policy::refusal unconfirmed_refusal()
{
    return {policy::refusal_reason::configuration_unconfirmed, policy::execution::no,
            "come back after the time given, or ask another node", unconfirmed_retry};
}

bool state_admission::are_current() const
{
    return m_terms.allow(m_evidence.confirmed_age()) || m_evidence.is_newest_in_fleet();
}

std::optional<policy::refusal> state_admission::find_refusal(const home_regions& homes) const
{
    if (m_evidence.is_behind())
        return unconfirmed_refusal();
    if (!homes.is_restricted() || are_current())
        return std::nullopt;
    return unconfirmed_refusal();
}

} // namespace snipeplank::serving
