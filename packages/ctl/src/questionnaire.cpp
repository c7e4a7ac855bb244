#include <snipeplank/ctl/command.hpp>
#include <snipeplank/settings/config_directory.hpp>
#include <snipeplank/settings/detail/read_file.hpp>
#include <snipeplank/settings/generator.hpp>
#include <snipeplank/settings/questionnaire.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <optional>
#include <ostream>

namespace snipeplank::ctl
{

namespace
{

namespace fs = std::filesystem;

constexpr const char* manifest_path = "publish/manifest.yaml";
constexpr const char* answers_name = "answers.yaml";

/// Whether a file contains the fleet key, as the answers and the node settings do.
bool holds_secret(const fs::path& path)
{
    return path.filename() == answers_name || path.parent_path().filename() == "nodes";
}

std::optional<core::error> write_file(const fs::path& path, const std::string& text)
{
    std::error_code problem;
    fs::create_directories(path.parent_path(), problem);
    std::ofstream file(path, std::ios::binary | std::ios::trunc);
    if (holds_secret(path))
    {
        // Set while the file is still empty, so that no other user can read the key.
        fs::permissions(path, fs::perms::owner_read | fs::perms::owner_write, problem);
    }
    file << text;
    file.close();
    if (!file || problem)
    {
        return core::error{core::error_code::settings_unreadable,
                           path.string() + ": the file cannot be written",
                           "check the free space and that this user may write there, or give "
                           "another directory with --out"};
    }
    return {};
}

/// Refuses a changed manifest under the same or a lower version, because nodes never accept two
/// contents under one version.
std::optional<core::error> check_version(const fs::path& directory,
                                         const settings::generated_files& files)
{
    const fs::path path = directory / manifest_path;
    const auto existing_text = settings::detail::read_file(path.string());
    const std::string& new_text = files.at(manifest_path);
    if (!existing_text || existing_text.value() == new_text)
    {
        return {};
    }
    const auto existing_manifest = settings::parse_manifest(existing_text.value(), path.string());
    const auto new_manifest = settings::parse_manifest(new_text, manifest_path);
    if (!existing_manifest || !new_manifest ||
        existing_manifest.value().version < new_manifest.value().version)
    {
        return {};
    }
    const std::string version = std::to_string(existing_manifest.value().version.get());
    return core::error{core::error_code::answers_contradict,
                       "version: " + path.string() + " has version " + version +
                           " with other content",
                       "set `version` in the answers above " + version +
                           ", or give an empty directory with --out"};
}

/// Writes the manifest last, so that it never refers to a missing section.
std::optional<core::error> write_files(const fs::path& directory,
                                       const settings::generated_files& files)
{
    for (const auto& [path, text] : files)
    {
        if (path == manifest_path)
        {
            continue;
        }
        if (std::optional<core::error> failed = write_file(directory / path, text))
        {
            return failed;
        }
    }
    return write_file(directory / manifest_path, files.at(manifest_path));
}

void print_summary(const std::string& directory, const settings::generated_files& files,
                   const command_io& io)
{
    const auto is_node = [](const auto& file) { return file.first.starts_with("nodes/"); };
    const auto nodes = std::count_if(files.begin(), files.end(), is_node);
    const auto sections = static_cast<std::ptrdiff_t>(files.size()) - nodes - 1;
    io.out << "wrote " << directory << "/publish (" << sections
           << " sections and the manifest) and " << directory << "/nodes (" << nodes << " files)\n"
           << "next: publish the sections, then the manifest; `snipeplankctl --help` says how\n";
}

class questionnaire_command final : public command
{
  public:
    std::string name() const override { return "questionnaire"; }

    std::vector<std::string> flags() const override { return {"answers", "out"}; }

    std::string help() const override
    {
        return R"(  questionnaire [--answers FILE] --out DIR
    Generates the configuration (DIR/publish) and one settings file for each entry host
    (DIR/nodes). Without --answers it asks on the terminal and saves the answers in
    DIR/answers.yaml; edit that file and give it with --answers later.
    Contradictory answers are refused with the question to change.
    Example: snipeplankctl questionnaire --answers examples/hallstein.answers.yaml --out out
)";
    }

    int run(const command_line& line, const command_io& io) const override
    {
        if (line.out.empty() || !line.arguments.empty())
        {
            return report_usage_error(io, "questionnaire takes --out and no other argument",
                                      "write `questionnaire --answers FILE --out DIR`");
        }
        const core::result<settings::answers> given =
            line.answers.empty() ? ask(line, io) : settings::load_answers(line.answers);
        return given ? generate(given.value(), line, io)
                     : report_error(io, given.error(), exit_refused);
    }

  private:
    static core::result<settings::answers> ask(const command_line& line, const command_io& io)
    {
        if (!io.is_terminal)
        {
            return core::fail(core::error_code::settings_missing_key,
                              "--answers is not given and the input is not a terminal",
                              "give --answers FILE, or run the questionnaire on a terminal");
        }
        const fs::path path = fs::path(line.out) / answers_name;
        std::error_code ignored;
        if (fs::exists(path, ignored))
        {
            return core::fail(core::error_code::answers_contradict,
                              path.string() + " has answers and a fleet key already",
                              "edit that file and give it with --answers, or give another "
                              "directory with --out");
        }
        auto given = settings::ask_answers(io.in, io.out, settings::generate_random_secret);
        if (!given)
        {
            return given;
        }
        // Saved even when the answers contradict each other, so that the file can be edited.
        if (const auto failed = write_file(path, settings::render_answers(given.value())))
        {
            return core::fail(failed->code, failed->message, failed->remedy);
        }
        io.out << "saved the answers in " << path.string() << '\n';
        return given;
    }

    static int generate(const settings::answers& given, const command_line& line,
                        const command_io& io)
    {
        const auto files = settings::generate_files(given);
        if (!files)
        {
            return report_error(io, files.error(), exit_refused);
        }
        std::optional<core::error> failed = check_version(line.out, files.value());
        if (!failed)
        {
            failed = write_files(line.out, files.value());
        }
        if (failed)
        {
            return report_error(io, *failed, exit_refused);
        }
        print_summary(line.out, files.value(), io);
        return exit_ok;
    }
};

} // namespace

std::unique_ptr<command> make_questionnaire_command()
{
    return std::make_unique<questionnaire_command>();
}

} // namespace snipeplank::ctl
