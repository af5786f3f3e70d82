/**
 * @file scenario.h
 * Reads a scenario of the model from a JSON file.
 */
#ifndef MODEL_SCENARIO_H
#define MODEL_SCENARIO_H

#include "world.h"

/** Returns false with a line on standard error when FILE cannot be read. */
bool scenario_read (const char *file, struct sim_scenario *scenario);

#endif
