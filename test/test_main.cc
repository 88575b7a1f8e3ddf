#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/TextTestProgressListener.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <iostream>

#include "test_args.h"

// Runs every registered CppUnit test of the program.
int main(int argc, char** argv) {
  trefoilwick::TestArgs() = std::vector<std::string>(argv + 1, argv + argc);
  CppUnit::TestResult result;
  CppUnit::TestResultCollector collector;
  CppUnit::TextTestProgressListener progress;
  result.addListener(&collector);
  result.addListener(&progress);
  CppUnit::TestRunner runner;
  runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  runner.run(result);
  CppUnit::CompilerOutputter(&collector, std::cerr).write();
  return collector.wasSuccessful() ? 0 : 1;
}
