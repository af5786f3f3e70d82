/**
 * @file json.h
 * Reads values of JSON documents from outside, whose types are not known.
 */
#ifndef BD_JSON_H
#define BD_JSON_H

#include "common/string.h"

#include <jansson.h>

/** Returns the text of VALUE; its data is NULL when VALUE is no string. */
struct bd_chunk bd_json_string (const json_t *value);

/** Returns the text of OBJECT's member NAME, as bd_json_string () does. */
struct bd_chunk bd_json_member_string (const json_t *object, const char *name);

/**
 * Returns the number that is OBJECT's member NAME, or DEFAULT_VALUE when that
 * is no number.
 */
double bd_json_member_number (const json_t *object, const char *name,
                              double default_value);

#endif
