#include <snipeplank/policy/residency.hpp>

namespace snipeplank::policy
{

settings::residency stricter_of(settings::residency first, settings::residency second)
{
    const bool is_free = first == settings::residency::free && second == settings::residency::free;
    return is_free ? settings::residency::free : settings::residency::bound;
}

settings::residency effective_residency(settings::residency service,
                                        std::optional<std::string_view> header)
{
    const bool is_bound_by_header = header && *header != "free";
    return stricter_of(service,
                       is_bound_by_header ? settings::residency::bound : settings::residency::free);
}

bool may_be_served_in(settings::residency residency, const core::region_id& home,
                      const core::region_id& region)
{
    if (residency == settings::residency::free)
        return true;
    return !home.get().empty() && home == region;
}

} // namespace snipeplank::policy
