#include <snipeplank/gateway/call_number_generator.hpp>

#include <spdlog/fmt/fmt.h>

namespace snipeplank::gateway
{

std::string call_number_generator::next_request_id(const core::node_id& node)
{
    return fmt::format("{}-{:016x}-{}", node.address.get(), node.incarnation.get(), next().get());
}

} // namespace snipeplank::gateway
