/// @file
/// Builds successive versions of the configuration and parses only the sections that changed.

#ifndef SNIPEPLANK_SETTINGS_CONFIG_BUILDER_HPP
#define SNIPEPLANK_SETTINGS_CONFIG_BUILDER_HPP

#include <snipeplank/core/error.hpp>
#include <snipeplank/settings/published_config.hpp>

#include <map>
#include <memory>
#include <string>

namespace snipeplank::settings
{

/// @brief Builds configurations and caches the parsed account sections of the last version built.
///
/// A change affects one section of 130, so parsing all of them for each change would exceed a
/// node's control budget at the target size. The result is the same as that of `build_config`,
/// which has no cache. Not thread-safe.
/// @code
/// config_builder builder;
/// auto config = builder.build(index, sections);
/// @endcode
class config_builder
{
  public:
    config_builder();
    ~config_builder();
    config_builder(config_builder&&) noexcept;
    config_builder& operator=(config_builder&&) noexcept;

    /// @brief Builds the configuration, or returns the first error and leaves the cache unchanged.
    /// @param sections text of each section, by hash
    /// O(size of the changed sections + number of accounts).
    core::result<published_config> build(const manifest& index,
                                         const std::map<std::string, std::string>& sections);

  private:
    struct cache;
    std::unique_ptr<cache> m_cache;
};

} // namespace snipeplank::settings

#endif
