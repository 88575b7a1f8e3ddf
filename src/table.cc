#include "trefoilwick/table.h"
