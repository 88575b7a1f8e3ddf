#include "trefoilwick/platform.h"
