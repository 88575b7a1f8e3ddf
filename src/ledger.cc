#include "trefoilwick/ledger.h"
