#include <snipeplank/policy/retry_after.hpp>

#include <algorithm>

namespace snipeplank::policy
{

core::milliseconds jittered_retry_after(core::milliseconds base, core::random_source& random)
{
    constexpr core::milliseconds shortest{250};
    constexpr core::milliseconds longest{30'000};
    const core::milliseconds held = std::clamp(base, shortest, longest);
    const double spread = static_cast<double>(held.count()) * random.unit();
    return held + core::milliseconds{static_cast<long>(spread)};
}

} // namespace snipeplank::policy
