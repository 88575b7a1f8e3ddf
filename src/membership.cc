#include "trefoilwick/membership.h"
