#include <snipeplank/policy/residency.hpp>

namespace snipeplank::policy
{

settings::residency effective_residency(settings::residency service,
                                        std::optional<std::string_view> header)
{
    if (service != settings::residency::free)
        return settings::residency::bound;
    if (header && *header != "free")
        return settings::residency::bound;
    return settings::residency::free;
}

bool may_be_served_in(settings::residency residency, const core::region_id& home,
                      const core::region_id& region)
{
    if (residency == settings::residency::free)
        return true;
    return !home.get().empty() && home == region;
}

} // namespace snipeplank::policy
