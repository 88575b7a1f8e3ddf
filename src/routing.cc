#include "trefoilwick/routing.h"
