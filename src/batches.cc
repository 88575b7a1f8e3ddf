#include "trefoilwick/batches.h"
