/// @file
/// Hashes: XXH64 for placement and checksums, SHA-256 and HMAC for content ids and authentication.

#ifndef SNIPEPLANK_CORE_HASH_HPP
#define SNIPEPLANK_CORE_HASH_HPP

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace snipeplank::core
{

/// @brief XXH64 of `data`. Not cryptographic. O(n).
std::uint64_t hash64(std::string_view data, std::uint64_t seed = 0);

/// @brief Incremental XXH64 with seed 0.
///
/// @code
/// checksum64 sum;
/// sum.update(chunk);
/// std::uint64_t digest = sum.digest();
/// @endcode
class checksum64
{
  public:
    checksum64();
    ~checksum64();
    checksum64(const checksum64&) = delete;
    checksum64& operator=(const checksum64&) = delete;

    /// @brief Appends `data` to the hashed input.
    void update(std::string_view data);

    /// @brief The checksum of all data appended so far.
    std::uint64_t digest() const;

  private:
    struct state;
    std::unique_ptr<state> m_state;
};

/// @brief Lower-case hexadecimal SHA-256 of `data` (64 characters). O(n).
std::string sha256_hex(std::string_view data);

/// @brief Lower-case hexadecimal HMAC-SHA256 of `data` under `key`. O(n).
std::string hmac_sha256_hex(std::string_view key, std::string_view data);

/// @brief Compares two strings in time that depends only on their lengths, not on their contents.
bool equal_constant_time(std::string_view a, std::string_view b);

/// @brief `count` cryptographically secure random bytes.
/// @throws std::runtime_error when the random generator is not seeded
std::string random_bytes(std::size_t count);

} // namespace snipeplank::core

#endif
