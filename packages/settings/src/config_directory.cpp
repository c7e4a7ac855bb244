#include <snipeplank/settings/config_directory.hpp>
#include <snipeplank/settings/detail/read_file.hpp>

#include <map>

namespace snipeplank::settings
{

core::result<published_config> load_config_directory(const std::string& directory)
{
    const std::string manifest_path = directory + "/manifest.yaml";
    core::result<std::string> text = detail::read_file(manifest_path);
    if (!text)
    {
        return text.as_failure();
    }
    core::result<manifest> index = parse_manifest(text.value(), manifest_path);
    if (!index)
    {
        return index.as_failure();
    }
    std::map<std::string, std::string> sections;
    for (const section_ref& section : index.value().sections)
    {
        core::result<std::string> content =
            detail::read_file(directory + "/sections/" + section.sha256 + ".yaml");
        if (!content)
        {
            return content.as_failure();
        }
        sections[section.sha256] = std::move(content.value());
    }
    return build_config(index.value(), sections);
}

} // namespace snipeplank::settings
