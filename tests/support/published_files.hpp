/// @file
/// A directory of published configuration, written as an operator's pipeline does it.

#ifndef SNIPEPLANK_TESTS_SUPPORT_PUBLISHED_FILES_HPP
#define SNIPEPLANK_TESTS_SUPPORT_PUBLISHED_FILES_HPP

#include <cstdint>
#include <filesystem>
#include <map>
#include <string>

namespace snipeplank::tests
{

/// @brief A directory that is removed with the object.
class temporary_directory
{
  public:
    temporary_directory();
    ~temporary_directory();
    temporary_directory(const temporary_directory&) = delete;
    temporary_directory& operator=(const temporary_directory&) = delete;

    /// @brief Its path.
    const std::filesystem::path& path() const { return m_path; }

  private:
    std::filesystem::path m_path;
};

/// @brief Writes `text` to `path` in one step, so that no reader sees half of it.
void write_file(const std::filesystem::path& path, const std::string& text);

/// @brief Publishes sections, then the manifest that names them.
/// @param sections texts by section name
void publish(const std::filesystem::path& directory, std::uint64_t version,
             const std::map<std::string, std::string>& sections);

} // namespace snipeplank::tests

#endif
