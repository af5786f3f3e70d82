/**
 * @file map.h
 * A hash map from (identifier, number) to a pointer, with open addressing.
 */
#ifndef BD_MAP_H
#define BD_MAP_H

#include "basildock.h"

struct bd_map;

struct bd_map *bd_map_create (void);

/** Frees the map, but not the values. */
void bd_map_destroy (struct bd_map *map);

/** Returns the value, or NULL. */
void *bd_map_get (const struct bd_map *map, struct bd_id id, uint32_t number);

/** Sets VALUE, which must not be NULL.  Returns BD_OK or BD_ERR_NOMEM. */
int bd_map_put (struct bd_map *map, struct bd_id id, uint32_t number,
                void *value);

/** Removes and returns the value, or NULL. */
void *bd_map_remove (struct bd_map *map, struct bd_id id, uint32_t number);

size_t bd_map_count (const struct bd_map *map);

/**
 * Returns the next value of an iteration that starts with *CURSOR 0, or NULL
 * at the end.  The map must not change meanwhile.
 */
void *bd_map_next (const struct bd_map *map, size_t *cursor);

#endif
