#include <snipeplank/ctl/command.hpp>
#include <snipeplank/ctl/node_call.hpp>

#include <ostream>
#include <utility>

namespace snipeplank::ctl
{

namespace
{

class drain_command final : public command
{
  public:
    explicit drain_command(admin_connector connect) : m_connect(std::move(connect)) {}

    std::string name() const override { return "drain"; }

    std::vector<std::string> flags() const override { return {"node"}; }

    std::string help() const override
    {
        return R"(  drain --node IP:PORT
    Starts a graceful shutdown: the node takes no new work, finishes what is in flight
    and exits. It cannot be undone; start the node again to bring it back.
    Example: snipeplankctl drain --node 127.0.0.1:8082
)";
    }

    int run(const command_line& line, const command_io& io) const override
    {
        if (!line.arguments.empty())
        {
            return report_usage_error(io, "drain takes no argument " + line.arguments.front(),
                                      "name the node with --node IP:PORT");
        }
        const core::result<core::address> node = node_address(line);
        if (!node)
        {
            return report_error(io, node.error(), exit_refused);
        }
        const core::result<std::string> body =
            successful_body(m_connect(node.value())->post("/v1/drain"));
        if (!body)
        {
            return report_error(io, body.error(), exit_failed);
        }
        io.out << "the node at " << node.value().get()
               << " is draining; it exits when nothing is in flight\n";
        return exit_ok;
    }

  private:
    admin_connector m_connect;
};

} // namespace

std::unique_ptr<command> make_drain_command(admin_connector connect)
{
    return std::make_unique<drain_command>(std::move(connect));
}

} // namespace snipeplank::ctl
