#include "accounting.hpp"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <ctime>
#include <new>

namespace snipeplank::slopes
{

namespace
{

struct block_header
{
    std::size_t size;
    std::size_t account;
};

static_assert(sizeof(block_header) == 16, "keeps the alignment of malloc");

std::array<std::int64_t, max_accounts> g_live{};
std::array<std::int64_t, max_accounts> g_peak{};
std::size_t g_account = no_account;

} // namespace

void* allocate(std::size_t size)
{
    auto* header = static_cast<block_header*>(std::malloc(size + sizeof(block_header)));
    if (header == nullptr)
        throw std::bad_alloc{};
    *header = {size, g_account};
    g_live[g_account] += static_cast<std::int64_t>(size + sizeof(block_header));
    g_peak[g_account] = std::max(g_peak[g_account], g_live[g_account]);
    return header + 1;
}

void release(void* block)
{
    if (block == nullptr)
        return;
    auto* header = static_cast<block_header*>(block) - 1;
    g_live[header->account] -= static_cast<std::int64_t>(header->size + sizeof(block_header));
    std::free(header);
}

std::int64_t live_bytes(std::size_t account)
{
    return g_live[account];
}

std::int64_t peak_bytes(std::size_t account)
{
    return g_peak[account];
}

void reset_peaks()
{
    g_peak = g_live;
}

double thread_cpu_seconds()
{
    constexpr double nanoseconds_in_second = 1e9;
    timespec now{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) +
           static_cast<double>(now.tv_nsec) / nanoseconds_in_second;
}

account_scope::account_scope(std::size_t account, double& cpu_seconds)
    : m_previous_account(g_account), m_cpu_seconds(cpu_seconds), m_started(thread_cpu_seconds())
{
    g_account = account;
}

account_scope::~account_scope()
{
    g_account = m_previous_account;
    m_cpu_seconds += thread_cpu_seconds() - m_started;
}

} // namespace snipeplank::slopes

void* operator new(std::size_t size)
{
    return snipeplank::slopes::allocate(size);
}

void operator delete(void* block) noexcept
{
    snipeplank::slopes::release(block);
}

void operator delete(void* block, std::size_t /*size*/) noexcept
{
    snipeplank::slopes::release(block);
}
