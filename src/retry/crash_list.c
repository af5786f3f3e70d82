#include "retry/crash_list.h"

#include "common/string.h"

#include <string.h>

/* Whether CRASH does not belong to the same moment as BEFORE, the crash of
   another runner. */
static bool
is_another_moment (const struct bd_crash_entry *crash,
                   const struct bd_crash_entry *before)
{
  if (crash->sent_ms >= before->at_ms)
    return true;
  return crash->at_ms - before->at_ms >= BD_CRASH_APART_MS
         && crash->heard_ms - before->heard_ms >= BD_CRASH_APART_MS;
}

uint32_t
bd_crash_list_in_succession (const struct bd_crash_list *list)
{
  const struct bd_crash_entry *before = NULL;
  uint32_t count = 0;

  for (uint32_t i = 0; i < list->count; i++)
    if (!before || is_another_moment (&list->entries[i], before))
      {
        before = &list->entries[i];
        count++;
      }
  return count;
}

uint32_t
bd_crash_list_in_likely_succession (const struct bd_crash_list *list)
{
  uint32_t count = 0;
  int64_t before_ms = INT64_MIN;

  for (uint32_t i = 0; i < list->count; i++)
    if (list->entries[i].sent_ms >= before_ms)
      {
        before_ms = list->entries[i].heard_ms;
        count++;
      }
  return count;
}

bool
bd_crash_list_has (const struct bd_crash_list *list, struct bd_id id)
{
  for (uint32_t i = 0; i < list->count; i++)
    if (bd_id_equal (list->entries[i].id, id))
      return true;
  return false;
}

void
bd_crash_list_remove (struct bd_crash_list *list, uint32_t index)
{
  list->count--;
  memmove (&list->entries[index], &list->entries[index + 1],
           (list->count - index) * sizeof list->entries[0]);
}

static void
make_room (struct bd_crash_list *list)
{
  uint32_t index = 0;

  for (uint32_t i = 1; i < list->count && index == 0; i++)
    if (list->entries[i].sent_ms < list->entries[i - 1].at_ms)
      index = i;
  bd_crash_list_remove (list, index);
}

bool
bd_crash_list_add (struct bd_crash_list *list,
                   const struct bd_crash_entry *crash)
{
  uint32_t i;

  if (bd_crash_list_has (list, crash->id))
    return false;
  if (list->count == BD_CRASH_LIST_MAX)
    make_room (list);
  for (i = list->count; i > 0 && list->entries[i - 1].at_ms > crash->at_ms;
       i--)
    list->entries[i] = list->entries[i - 1];
  list->entries[i] = *crash;
  list->count++;
  return true;
}
