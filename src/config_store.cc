#include "trefoilwick/config_store.h"
