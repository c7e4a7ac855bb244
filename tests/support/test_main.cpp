/// Main of every test program: fixes the RapidCheck seed, so that each run gives the same verdict.

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

#include <cstdlib>

int main(int argc, char** argv)
{
    // CppUTest's leak detector reports false leaks for RapidCheck's lazily built statics.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    constexpr int keep_existing = 0;
    setenv("RC_PARAMS", "seed=20260101", keep_existing);
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
