#pragma once

/** Umbrella header of libquay: the public types that a program needs. */

#include "quay/core/ConfigCompiler.h"
#include "quay/core/Configuration.h"
#include "quay/core/Ids.h"
#include "quay/core/Job.h"
#include "quay/core/Reason.h"
#include "quay/core/Settings.h"
#include "quay/core/Time.h"
#include "quay/fleet/FleetScheduler.h"
