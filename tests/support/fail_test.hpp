/// @file
/// Ends the current test from the harness.

#ifndef SNIPEPLANK_TESTS_SUPPORT_FAIL_TEST_HPP
#define SNIPEPLANK_TESTS_SUPPORT_FAIL_TEST_HPP

#include <string>

namespace snipeplank::tests
{

/// @brief Fails the current CppUTest test with a message and leaves it.
///
/// CppUTest 4.0 lets other exceptions end the whole program. Call from the test's main thread, in
/// setup() or the test body.
[[noreturn]] void fail_test(const std::string& message);

} // namespace snipeplank::tests

#endif
