/// @file
/// Exit statuses of the node.

#ifndef SNIPEPLANK_NODE_EXIT_STATUS_HPP
#define SNIPEPLANK_NODE_EXIT_STATUS_HPP

namespace snipeplank
{

constexpr int exit_cannot_start = 1;
constexpr int exit_bad_settings = 2;

} // namespace snipeplank

#endif
