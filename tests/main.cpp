// Runs the tests. ctest starts one process a group.
#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/TestRegistry.h>
#include <glog/logging.h>

int main(int argc, char **argv)
{
    // The leak detector of CppUTest is not thread-safe; AddressSanitizer looks for leaks instead.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    FLAGS_logtostderr = true;
    FLAGS_minloglevel = google::GLOG_FATAL;
    google::InitGoogleLogging(argv[0]);
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
