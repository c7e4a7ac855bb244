#include <snipeplank/ctl/command.hpp>
#include <snipeplank/ctl/node_call.hpp>

#include <utility>

namespace snipeplank::ctl
{

namespace
{

class status_command final : public command
{
  public:
    explicit status_command(admin_connector connect) : m_connect(std::move(connect)) {}

    std::string name() const override { return "status"; }

    std::vector<std::string> flags() const override { return {"node", "json"}; }

    std::string help() const override
    {
        return R"(  status --node IP:PORT [--json]
    Shows the state of a node: configuration in force, members, upstreams, load.
    --json prints the node's JSON for scripts.
    Example: snipeplankctl status --node 127.0.0.1:8082
)";
    }

    int run(const command_line& line, const command_io& io) const override
    {
        if (!line.arguments.empty())
        {
            return report_usage_error(io, "status takes no argument " + line.arguments.front(),
                                      "name the node with --node IP:PORT");
        }
        const core::result<core::address> node = node_address(line);
        if (!node)
        {
            return report_error(io, node.error(), exit_refused);
        }
        const core::result<std::string> body =
            successful_body(m_connect(node.value())->get("/v1/status"));
        return body ? print_json(body.value(), line, io)
                    : report_error(io, body.error(), exit_failed);
    }

  private:
    admin_connector m_connect;
};

} // namespace

std::unique_ptr<command> make_status_command(admin_connector connect)
{
    return std::make_unique<status_command>(std::move(connect));
}

} // namespace snipeplank::ctl
