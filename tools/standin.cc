#include "standin.h"

int main(int argc, char** argv) {
  return trefoilwick::standin::RunStandin(argc, argv);
}
