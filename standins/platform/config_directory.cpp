#include <snipeplank/core/hash.hpp>

#include <standins/platform/config_directory.hpp>

#include <fstream>
#include <regex>
#include <sstream>
#include <utility>

namespace snipeplank::standins
{
namespace
{

std::string read_file(const std::filesystem::path& path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::uint64_t version_of(const std::string& manifest)
{
    static const std::regex line("(^|\n)\"?version\"?: *([0-9]+)");
    std::smatch match;
    return std::regex_search(manifest, match, line) ? std::stoull(match[2].str()) : 0;
}

} // namespace

config_directory::config_directory(std::filesystem::path directory)
    : m_directory(std::move(directory))
{
}

std::optional<kv_value> config_directory::manifest(std::optional<std::uint64_t> version)
{
    const std::lock_guard lock(m_mutex);
    refresh_manifest();
    if (version)
    {
        const auto found = m_manifests_by_version.find(*version);
        return found == m_manifests_by_version.end() ? std::nullopt : std::optional(found->second);
    }
    return m_manifest.index == 0 ? std::nullopt : std::optional(m_manifest);
}

std::optional<kv_value> config_directory::section(const std::string& hash)
{
    const std::lock_guard lock(m_mutex);
    if (!m_sections.contains(hash))
    {
        refresh_sections();
    }
    const auto found = m_sections.find(hash);
    if (found == m_sections.end())
    {
        return std::nullopt;
    }
    constexpr std::uint64_t first_index = 1;
    return kv_value{found->second, first_index};
}

void config_directory::refresh_manifest()
{
    std::string text = read_file(m_directory / "manifest.yaml");
    if (text.empty() || text == m_manifest.text)
    {
        return;
    }
    m_manifest = {std::move(text), m_manifest.index + 1};
    m_manifests_by_version[version_of(m_manifest.text)] = m_manifest;
    refresh_sections();
}

void config_directory::refresh_sections()
{
    std::error_code ignored;
    for (const auto& entry : std::filesystem::directory_iterator(m_directory / "sections", ignored))
    {
        std::string text = read_file(entry.path());
        m_sections[core::sha256_hex(text)] = std::move(text);
    }
}

} // namespace snipeplank::standins
