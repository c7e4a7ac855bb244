#include <snipeplank/ctl/json_text.hpp>
#include <snipeplank/ctl/node_call.hpp>
#include <snipeplank/settings/address.hpp>

#include <ostream>

namespace snipeplank::ctl
{

core::result<core::address> node_address(const command_line& line)
{
    if (line.node.empty())
    {
        return core::fail(core::error_code::settings_missing_key, "--node is not given",
                          "give the admin_address of a node, for example --node 127.0.0.1:8082");
    }
    return settings::parse_address(line.node);
}

core::result<std::string> successful_body(core::result<admin_answer> answer)
{
    if (!answer)
    {
        return answer.as_failure();
    }
    constexpr int first_success = 200;
    constexpr int after_success = 300;
    const int status = answer.value().status;
    if (status < first_success || status >= after_success)
    {
        return core::fail(core::error_code::connection_failed,
                          "the node answered with HTTP status " + std::to_string(status),
                          "check that --node names the admin_address, not the caller_address, "
                          "and that the node runs this version");
    }
    return answer.value().body;
}

int print_json(const std::string& body, const command_line& line, const command_io& io)
{
    core::result<std::string> text = render_json(body);
    if (!text)
    {
        return report_error(io, text.error(), exit_failed);
    }
    io.out << (line.json ? body + "\n" : text.value());
    return exit_ok;
}

} // namespace snipeplank::ctl
