#include "trefoilwick/report.h"
