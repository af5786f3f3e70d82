/**
 * @file scenario.h
 * Reads a scenario of the simulation from a JSON file.
 */
#ifndef MODEL_SCENARIO_H
#define MODEL_SCENARIO_H

#include "simulation.h"

/** Reads FILE into SCENARIO, with defaults for missing keys.  Returns false,
    with a message on standard error, when FILE is unreadable or no JSON. */
bool scenario_read (const char *file, struct sim_scenario *scenario);

#endif
