/// @file
/// RapidCheck properties as CppUTest checks.

#ifndef SNIPEPLANK_TESTS_SUPPORT_PROPERTY_HPP
#define SNIPEPLANK_TESTS_SUPPORT_PROPERTY_HPP

#include <CppUTest/TestHarness.h>

#include <rapidcheck.h>

#include <string>
#include <utility>

namespace snipeplank::tests
{

/// @brief Fails the current CppUTest test unless the property holds for every generated case.
/// @param description what the property states, printed with a counter-example
/// @param testable callable with generated arguments, as for `rc::check`
template <typename Testable>
void check_property(const std::string& description, Testable&& testable)
{
    CHECK_TRUE_TEXT(rc::check(description, std::forward<Testable>(testable)), description.c_str());
}

} // namespace snipeplank::tests

#endif
