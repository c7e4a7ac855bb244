#include "published_files.hpp"

#include <snipeplank/core/hash.hpp>

#include <fstream>

#include "fail_test.hpp"

namespace snipeplank::tests
{

temporary_directory::temporary_directory()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "snipeplank-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr)
    {
        fail_test("cannot create a temporary directory " + pattern);
    }
    m_path = pattern;
}

temporary_directory::~temporary_directory()
{
    std::error_code ignored;
    std::filesystem::remove_all(m_path, ignored);
}

void write_file(const std::filesystem::path& path, const std::string& text)
{
    const std::filesystem::path draft = path.string() + ".draft";
    {
        std::ofstream file(draft, std::ios::binary);
        file << text;
    }
    std::filesystem::rename(draft, path);
}

void publish(const std::filesystem::path& directory, std::uint64_t version,
             const std::map<std::string, std::string>& sections)
{
    std::filesystem::create_directories(directory / "sections");
    std::string manifest = "version: " + std::to_string(version) + "\nsections:\n";
    for (const auto& [name, text] : sections)
    {
        const std::string hash = core::sha256_hex(text);
        write_file(directory / "sections" / (hash + ".yaml"), text);
        manifest.append("  - name: ").append(name).append("\n    hash: ").append(hash).append("\n");
    }
    write_file(directory / "manifest.yaml", manifest);
}

} // namespace snipeplank::tests
