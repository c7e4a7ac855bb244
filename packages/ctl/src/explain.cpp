#include <snipeplank/ctl/command.hpp>
#include <snipeplank/ctl/node_call.hpp>
#include <snipeplank/ctl/request_id.hpp>

#include <utility>

namespace snipeplank::ctl
{

namespace
{

/// Admin address of the node to ask: `--node` if given, else the address in the request id with
/// its port replaced by `--admin_port` if given.
core::result<core::address> admin_address_for(const request_id& id, const command_line& line)
{
    if (!line.node.empty())
    {
        return node_address(line);
    }
    return line.admin_port.empty() ? core::result<core::address>{id.address}
                                   : with_port(id.address, line.admin_port);
}

class explain_command final : public command
{
  public:
    explicit explain_command(admin_connector connect) : m_connect(std::move(connect)) {}

    std::string name() const override { return "explain"; }

    std::vector<std::string> flags() const override { return {"node", "admin_port", "json"}; }

    std::string help() const override
    {
        return R"(  explain REQUEST_ID [--node IP:PORT | --admin_port PORT] [--json]
    Shows each decision about one request: why it was routed, retried or refused.
    A request id begins with the admin_address of its node, which is asked unless --node
    names another. --admin_port replaces the port alone.
    Example: snipeplankctl explain 127.0.0.1:8082-00000000deadbeef-42
)";
    }

    int run(const command_line& line, const command_io& io) const override
    {
        if (line.arguments.size() != 1)
        {
            return report_usage_error(io, "explain takes one request id",
                                      "copy the request_id of an answer or a log line");
        }
        const core::result<request_id> id = parse_request_id(line.arguments.front());
        if (!id)
        {
            return report_error(io, id.error(), exit_refused);
        }
        const core::result<core::address> node = admin_address_for(id.value(), line);
        if (!node)
        {
            return report_error(io, node.error(), exit_refused);
        }
        return print_record(m_connect(node.value())->get("/v1/explain/" + id.value().path), line,
                            io);
    }

  private:
    static int print_record(const core::result<admin_answer>& answer, const command_line& line,
                            const command_io& io)
    {
        constexpr int not_found = 404;
        if (answer && answer.value().status == not_found)
        {
            io.err << "snipeplankctl: the node has no record of this request; a node keeps its "
                      "last 4,096 records and loses them at a restart, so ask sooner, and check "
                      "that --node names the node in the request id\n";
            return exit_failed;
        }
        const core::result<std::string> body = successful_body(answer);
        return body ? print_json(body.value(), line, io)
                    : report_error(io, body.error(), exit_failed);
    }

    admin_connector m_connect;
};

} // namespace

std::unique_ptr<command> make_explain_command(admin_connector connect)
{
    return std::make_unique<explain_command>(std::move(connect));
}

} // namespace snipeplank::ctl
