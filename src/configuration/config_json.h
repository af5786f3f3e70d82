/**
 * @file config_json.h
 * The active configuration as JSON, for operators.
 */
#ifndef BD_CONFIG_JSON_H
#define BD_CONFIG_JSON_H

#include "common/string.h"
#include "configuration/config.h"

/**
 * Appends {"contracts": […]}, with the number of credentials in place of the
 * credentials.  Returns BD_OK or BD_ERR_NOMEM.
 */
int bd_config_json_contracts (const struct bd_config *config,
                              struct bd_buffer *json);

struct json_t;

/** Appends ROOT as compact JSON and releases it.  Returns BD_OK or
 * BD_ERR_NOMEM. */
int bd_config_json_append (struct json_t *root, struct bd_buffer *json);

#endif
