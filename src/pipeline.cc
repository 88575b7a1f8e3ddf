#include "trefoilwick/pipeline.h"
