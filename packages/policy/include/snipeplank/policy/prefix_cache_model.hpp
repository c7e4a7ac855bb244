/// @file
/// Model of a model server's prefix cache, derived from this node's own calls.

#ifndef SNIPEPLANK_POLICY_PREFIX_CACHE_MODEL_HPP
#define SNIPEPLANK_POLICY_PREFIX_CACHE_MODEL_HPP

#include <cstddef>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>

namespace snipeplank::policy
{

/// @brief LRU set of the prompt parts that the server has probably cached.
class prefix_cache_model
{
  public:
    /// @brief Sets the capacity in tokens: this node's share of the server's cache.
    void set_capacity(double tokens);

    /// @brief Records that the server has processed this part. O(1) amortised.
    void add(const std::string& part, double tokens);

    bool contains(const std::string& part) const { return m_index.contains(part); }

    /// @brief Drops all parts, because the server lost its cache.
    void clear();

  private:
    struct entry
    {
        std::string part;
        double tokens;
    };

    void evict();

    double m_capacity = 0;
    double m_tokens = 0;
    std::list<entry> m_entries; ///< latest first
    std::unordered_map<std::string, std::list<entry>::iterator> m_index;
};

} // namespace snipeplank::policy

#endif
