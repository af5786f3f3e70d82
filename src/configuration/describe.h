/**
 * @file describe.h
 * The configuration in force as JSON, for operators.
 */
#ifndef BD_DESCRIBE_H
#define BD_DESCRIBE_H

#include "common/string.h"
#include "configuration/config.h"

/**
 * Appends {"contracts": […]}, without credentials.  Returns BD_OK or
 * BD_ERR_NOMEM.
 */
int bd_describe_contracts (const struct bd_config *config,
                           struct bd_buffer *json);

struct json_t;

/** Appends the text of ROOT and releases it.  Returns BD_OK or BD_ERR_NOMEM.
 */
int bd_describe_json (struct json_t *root, struct bd_buffer *json);

#endif
