/// @file
/// Generates published documents of a given size, in the format that nodes read.

#ifndef SNIPEPLANK_TOOLS_SLOPES_DOCUMENTS_HPP
#define SNIPEPLANK_TOOLS_SLOPES_DOCUMENTS_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace snipeplank::slopes
{

/// @brief A manifest and its sections by hash.
struct documents
{
    std::string manifest;
    std::map<std::string, std::string> sections;

    std::size_t section_bytes() const;
};

/// @brief A configuration for `regions` regions, 5 services and `accounts` accounts; each version
/// changes the rate of one account.
documents make_documents(std::uint64_t version, std::size_t regions, std::size_t accounts);

} // namespace snipeplank::slopes

#endif
