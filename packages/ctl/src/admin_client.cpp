#include <snipeplank/ctl/admin_client.hpp>
#include <snipeplank/gateway/address.hpp>
#include <snipeplank/gateway/upstream_connection.hpp>

namespace snipeplank::ctl
{

namespace
{

constexpr time_t connect_timeout_s = 2;
constexpr time_t read_timeout_s = 5;
/// Largest answer of an operators' interface.
constexpr std::uint64_t max_answer_bytes = 16'777'216;

class http_admin_client final : public admin_client
{
  public:
    explicit http_admin_client(const core::address& admin)
        : m_admin(admin), m_target(gateway::split_host_port(admin)),
          m_client(m_target.host, m_target.port)
    {
        m_client.set_max_body(max_answer_bytes);
        m_client.set_connection_timeout(connect_timeout_s);
        m_client.set_read_timeout(read_timeout_s);
        m_client.set_follow_location(false);
    }

    core::result<admin_answer> get(const std::string& path) override
    {
        return answer_of(m_client.Get(path));
    }

    core::result<admin_answer> post(const std::string& path) override
    {
        return answer_of(m_client.Post(path));
    }

  private:
    core::result<admin_answer> answer_of(const httplib::Result& result) const
    {
        if (!result)
        {
            return core::fail(core::error_code::connection_failed,
                              "no answer from " + m_admin.get() + " (" +
                                  httplib::to_string(result.error()) + ")",
                              "check that the node runs and that --node names its admin_address");
        }
        return admin_answer{result->status, result->body};
    }

    core::address m_admin;
    gateway::host_and_port m_target;
    gateway::upstream_connection m_client;
};

} // namespace

std::unique_ptr<admin_client> connect_over_http(const core::address& admin)
{
    return std::make_unique<http_admin_client>(admin);
}

} // namespace snipeplank::ctl
