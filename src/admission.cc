#include "trefoilwick/admission.h"
