#include <snipeplank/ctl/command.hpp>
#include <snipeplank/settings/config_directory.hpp>
#include <snipeplank/settings/node_settings.hpp>

#include <filesystem>
#include <ostream>

namespace snipeplank::ctl
{

namespace
{

/// Validates a settings file or a configuration directory; returns a one-line summary.
core::result<std::string> check_path(const std::string& path)
{
    std::error_code ignored;
    if (std::filesystem::is_directory(path, ignored))
    {
        auto config = settings::load_config_directory(path);
        if (!config)
        {
            return config.as_failure();
        }
        const settings::published_config& valid = config.value();
        return path + ": valid configuration, version " + std::to_string(valid.version.get()) +
               ", " + std::to_string(valid.regions.size()) + " regions, " +
               std::to_string(valid.services.size()) + " services, " +
               std::to_string(valid.accounts.size()) + " accounts";
    }
    auto node = settings::load_node_settings(path);
    if (!node)
    {
        return node.as_failure();
    }
    return path + ": valid node settings, region " + node.value().region.get() + ", zone " +
           node.value().zone.get();
}

class check_command final : public command
{
  public:
    std::string name() const override { return "check"; }

    std::vector<std::string> flags() const override { return {}; }

    std::string help() const override
    {
        return R"(  check FILE|DIR...
    Checks node settings (a file) or a configuration (a directory with manifest.yaml
    and sections/). Exit status 0 when all are valid, else 2.
    Example: snipeplankctl check out/publish out/nodes/salzkammer-1.yaml
)";
    }

    int run(const command_line& line, const command_io& io) const override
    {
        if (line.arguments.empty())
        {
            return report_usage_error(io, "no file to check",
                                      "name node settings files or a directory with manifest.yaml");
        }
        int status = exit_ok;
        for (const std::string& path : line.arguments)
        {
            const core::result<std::string> checked = check_path(path);
            if (!checked)
            {
                status = report_error(io, checked.error(), exit_refused);
                continue;
            }
            io.out << checked.value() << '\n';
        }
        return status;
    }
};

} // namespace

std::unique_ptr<command> make_check_command()
{
    return std::make_unique<check_command>();
}

} // namespace snipeplank::ctl
