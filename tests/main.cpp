// Entry point of the tests. ctest runs each test group in a process of its own.
#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/TestRegistry.h>
#include <glog/logging.h>

int main(int argc, char **argv)
{
    // CppUTest's leak detector is not thread-safe; leaks are found by AddressSanitizer instead.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    FLAGS_logtostderr = true;
    FLAGS_minloglevel = google::GLOG_FATAL;
    google::InitGoogleLogging(argv[0]);
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
