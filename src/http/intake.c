#include "http/intake.h"

void
bd_intake_add (struct bd_intake *intake, struct bd_intake_entry *entry)
{
  entry->previous = NULL;
  entry->next = intake->first;
  if (entry->next)
    entry->next->previous = entry;
  intake->first = entry;
  intake->count++;
}

void
bd_intake_remove (struct bd_intake *intake, struct bd_intake_entry *entry)
{
  bd_intake_set_bytes (intake, entry, 0);
  if (entry->previous)
    entry->previous->next = entry->next;
  else
    intake->first = entry->next;
  if (entry->next)
    entry->next->previous = entry->previous;
  intake->count--;
}

void
bd_intake_set_bytes (struct bd_intake *intake, struct bd_intake_entry *entry,
                     size_t bytes)
{
  intake->bytes += bytes - entry->bytes;
  entry->bytes = bytes;
}

/* Returns the number of binary digits of BYTES. */
static unsigned
size_class (size_t bytes)
{
  unsigned digits = 0;

  for (; bytes > 0; bytes /= 2)
    digits++;
  return digits;
}

static struct bd_intake_entry *
largest (const struct bd_intake *intake)
{
  struct bd_intake_entry *victim = NULL;

  for (struct bd_intake_entry *e = intake->first; e; e = e->next)
    {
      unsigned own = size_class (e->bytes);
      unsigned most = victim ? size_class (victim->bytes) : 0;

      if (own > most
          || (victim && own == most && e->active_ms < victim->active_ms))
        victim = e;
    }
  return victim;
}

static struct bd_intake_entry *
longest_silent (const struct bd_intake *intake)
{
  struct bd_intake_entry *victim = NULL;

  for (struct bd_intake_entry *e = intake->first; e; e = e->next)
    if (!e->answering && (!victim || e->active_ms <= victim->active_ms))
      victim = e;
  return victim;
}

struct bd_intake_entry *
bd_intake_victim (const struct bd_intake *intake)
{
  if (intake->bytes_max > 0 && intake->bytes > intake->bytes_max)
    return largest (intake);
  if (intake->count_max > 0 && intake->count > intake->count_max)
    return longest_silent (intake);
  return NULL;
}
