/// @file
/// Fails the current test from support code.

#ifndef SNIPEPLANK_TESTS_SUPPORT_FAIL_TEST_HPP
#define SNIPEPLANK_TESTS_SUPPORT_FAIL_TEST_HPP

#include <string>

namespace snipeplank::tests
{

/// @brief Fails the current CppUTest test with a message and ends it.
///
/// CppUTest 4.0 terminates the whole program on other exceptions. Call from the test's main thread,
/// in setup() or the test body.
[[noreturn]] void fail_test(const std::string& message);

} // namespace snipeplank::tests

#endif
