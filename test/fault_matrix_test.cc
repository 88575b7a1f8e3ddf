#include "test_args.h"
