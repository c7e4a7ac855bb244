/// @file
/// Published configuration in a directory: `manifest.yaml` and `sections/`.

#ifndef SNIPEPLANK_STANDINS_PLATFORM_CONFIG_DIRECTORY_HPP
#define SNIPEPLANK_STANDINS_PLATFORM_CONFIG_DIRECTORY_HPP

#include <cstdint>
#include <filesystem>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace snipeplank::standins
{

/// @brief A value of the key-value store and the index of its last change.
struct kv_value
{
    std::string text;
    std::uint64_t index = 0;
};

/// @brief Rereads the directory at each call, so that a test publishes by writing files.
///
/// Replace the manifest atomically, by a rename; otherwise a reader may see a partial file.
class config_directory
{
  public:
    explicit config_directory(std::filesystem::path directory);

    /// @brief The current manifest, or with `version` the last manifest seen with that version.
    std::optional<kv_value> manifest(std::optional<std::uint64_t> version);

    /// @brief The section whose SHA-256 is `hash`, regardless of its file name.
    std::optional<kv_value> section(const std::string& hash);

  private:
    void refresh_manifest();
    void refresh_sections();

    const std::filesystem::path m_directory;
    std::mutex m_mutex;
    kv_value m_manifest;
    std::map<std::uint64_t, kv_value> m_manifests_by_version;
    std::map<std::string, std::string> m_sections;
};

} // namespace snipeplank::standins

#endif
