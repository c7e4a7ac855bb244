#include <snipeplank/core/hash.hpp>
#include <snipeplank/core/random.hpp>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <xxhash.h>

#include <array>
#include <cstring>
#include <stdexcept>

namespace snipeplank::core
{

namespace
{

std::string to_hex(const unsigned char* data, std::size_t size)
{
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(size * 2);
    for (std::size_t i = 0; i < size; ++i)
    {
        text += digits[data[i] >> 4];
        text += digits[data[i] & 15];
    }
    return text;
}

const unsigned char* as_bytes(std::string_view text)
{
    return reinterpret_cast<const unsigned char*>(text.data());
}

} // namespace

struct checksum64::state
{
    XXH64_state_t* xxh = XXH64_createState();

    state() { XXH64_reset(xxh, 0); }
    ~state() { XXH64_freeState(xxh); }
    state(const state&) = delete;
    state& operator=(const state&) = delete;
};

checksum64::checksum64() : m_state(std::make_unique<state>()) {}
checksum64::~checksum64() = default;

void checksum64::update(std::string_view data)
{
    XXH64_update(m_state->xxh, data.data(), data.size());
}

std::uint64_t checksum64::digest() const
{
    return XXH64_digest(m_state->xxh);
}

std::uint64_t hash64(std::string_view data, std::uint64_t seed)
{
    return XXH64(data.data(), data.size(), seed);
}

std::string sha256_hex(std::string_view data)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    EVP_Digest(data.data(), data.size(), digest.data(), &size, EVP_sha256(), nullptr);
    return to_hex(digest.data(), size);
}

std::string hmac_sha256_hex(std::string_view key, std::string_view data)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), as_bytes(data), data.size(),
         digest.data(), &size);
    return to_hex(digest.data(), size);
}

bool equal_constant_time(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string random_bytes(std::size_t count)
{
    std::string buffer(count, '\0');
    if (RAND_bytes(reinterpret_cast<unsigned char*>(buffer.data()), static_cast<int>(count)) != 1)
    {
        throw std::runtime_error("the operating system's random generator is not seeded; "
                                 "start the process again once it is");
    }
    return buffer;
}

std::uint64_t system_seed()
{
    const std::string buffer = random_bytes(sizeof(std::uint64_t));
    std::uint64_t seed = 0;
    std::memcpy(&seed, buffer.data(), sizeof(seed));
    return seed;
}

} // namespace snipeplank::core
