#include "retry/part_list.h"

#include "basildock.h"

#include <stdlib.h>
#include <string.h>

#define CAPACITY_MIN 8

/* Makes room for CAPACITY parts.  Returns BD_OK or BD_ERR_NOMEM. */
static int
reserve (struct bd_part_list *list, size_t capacity)
{
  uint64_t *parts = realloc (list->parts, capacity * sizeof *parts);

  if (!parts)
    return BD_ERR_NOMEM;
  list->parts = parts;
  list->capacity = capacity;
  return BD_OK;
}

int
bd_part_list_add (struct bd_part_list *list, uint64_t part)
{
  if (list->count == list->capacity
      && reserve (list, list->capacity ? list->capacity * 2 : CAPACITY_MIN)
             != BD_OK)
    return BD_ERR_NOMEM;
  list->parts[list->count++] = part;
  return BD_OK;
}

int
bd_part_list_copy (struct bd_part_list *to, const struct bd_part_list *from)
{
  if (from->count == 0)
    return BD_OK;
  if (reserve (to, from->count) != BD_OK)
    return BD_ERR_NOMEM;
  memcpy (to->parts, from->parts, from->count * sizeof *to->parts);
  to->count = from->count;
  return BD_OK;
}

void
bd_part_list_clear (struct bd_part_list *list)
{
  free (list->parts);
  *list = (struct bd_part_list){ 0 };
}
