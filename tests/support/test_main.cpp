/// Main function of every test program. Fixes the RapidCheck seed so that results are reproducible.

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

#include <cstdlib>

int main(int argc, char** argv)
{
    // CppUTest's leak detector reports RapidCheck's lazily initialized statics as leaks.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    constexpr int keep_existing = 0;
    setenv("RC_PARAMS", "seed=20260101", keep_existing);
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
