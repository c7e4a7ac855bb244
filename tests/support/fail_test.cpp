#include "fail_test.hpp"

#include <CppUTest/TestHarness.h>

#include <cstdlib>

namespace snipeplank::tests
{

void fail_test(const std::string& message)
{
    FAIL(message.c_str());
    std::abort(); // FAIL does not return, but is not declared so.
}

} // namespace snipeplank::tests
