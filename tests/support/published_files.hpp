/// @file
/// Writes a directory of published configuration in the way an operator's pipeline does.

#ifndef SNIPEPLANK_TESTS_SUPPORT_PUBLISHED_FILES_HPP
#define SNIPEPLANK_TESTS_SUPPORT_PUBLISHED_FILES_HPP

#include <cstdint>
#include <filesystem>
#include <map>
#include <string>

namespace snipeplank::tests
{

/// @brief A temporary directory; the destructor removes it.
class temporary_directory
{
  public:
    temporary_directory();
    ~temporary_directory();
    temporary_directory(const temporary_directory&) = delete;
    temporary_directory& operator=(const temporary_directory&) = delete;

    const std::filesystem::path& path() const { return m_path; }

  private:
    std::filesystem::path m_path;
};

/// @brief Writes `text` to `path` atomically, so that no reader sees a partial file.
void write_file(const std::filesystem::path& path, const std::string& text);

/// @brief Writes the sections first and then the manifest that refers to them.
/// @param sections texts by section name
void publish(const std::filesystem::path& directory, std::uint64_t version,
             const std::map<std::string, std::string>& sections);

} // namespace snipeplank::tests

#endif
