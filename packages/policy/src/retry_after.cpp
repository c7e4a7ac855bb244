#include <snipeplank/policy/retry_after.hpp>

#include <algorithm>

namespace snipeplank::policy
{

core::milliseconds jittered_retry_after(core::milliseconds base, core::random_source& random)
{
    constexpr core::milliseconds min_base{250};
    constexpr core::milliseconds max_base{30'000};
    const core::milliseconds clamped = std::clamp(base, min_base, max_base);
    const double spread = static_cast<double>(clamped.count()) * random.unit();
    return clamped + core::milliseconds{static_cast<long>(spread)};
}

} // namespace snipeplank::policy
