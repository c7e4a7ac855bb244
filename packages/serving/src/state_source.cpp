#include <snipeplank/serving/state_source.hpp>

namespace snipeplank::serving
{

std::string_view to_string(state_kind kind)
{
    switch (kind)
    {
    case state_kind::configuration:
        return "configuration";
    case state_kind::evacuations:
        return "evacuations";
    case state_kind::upstreams:
        return "upstreams";
    }
    return "unknown";
}

std::string_view to_string(read_path by)
{
    switch (by)
    {
    case read_path::listing:
        return "listing";
    case read_path::watch:
        return "watch";
    case read_path::followed:
        return "followed";
    case read_path::copy:
        return "copy";
    }
    return "unknown";
}

} // namespace snipeplank::serving
