#include "scheduler/scheduler.h"

#include <benchmark/benchmark.h>
