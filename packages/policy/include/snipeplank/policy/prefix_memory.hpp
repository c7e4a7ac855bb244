/// @file
/// Which parts of prompts a model server has probably kept, known from this node's own calls.

#ifndef SNIPEPLANK_POLICY_PREFIX_MEMORY_HPP
#define SNIPEPLANK_POLICY_PREFIX_MEMORY_HPP

#include <cstddef>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>

namespace snipeplank::policy
{

/// @brief Least recently used parts give way once the server's memory is full.
class prefix_memory
{
  public:
    /// @brief Sets the tokens that the server keeps, this node's part of them.
    void set_capacity(double tokens);

    /// @brief The server has read this part. O(1) amortised.
    void add(const std::string& part, double tokens);

    bool contains(const std::string& part) const { return m_index.contains(part); }

    /// @brief The server lost its memory.
    void clear();

  private:
    struct entry
    {
        std::string part;
        double tokens;
    };

    void evict();

    double m_capacity = 0;
    double m_held = 0;
    std::list<entry> m_entries; ///< latest first
    std::unordered_map<std::string, std::list<entry>::iterator> m_index;
};

} // namespace snipeplank::policy

#endif
