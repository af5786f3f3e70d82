#include "support_memory.h"

#include <stdlib.h>

void *__real_malloc (size_t size);
void *__real_calloc (size_t count, size_t size);
void *__real_realloc (void *data, size_t size);
void *__wrap_malloc (size_t size);
void *__wrap_calloc (size_t count, size_t size);
void *__wrap_realloc (void *data, size_t size);

/* Allocations until one fails; 0: none does. */
static _Thread_local int allocations_left;

static bool
allocation_fails (void)
{
  return allocations_left > 0 && --allocations_left == 0;
}

void *
__wrap_malloc (size_t size)
{
  return allocation_fails () ? NULL : __real_malloc (size);
}

void *
__wrap_calloc (size_t count, size_t size)
{
  return allocation_fails () ? NULL : __real_calloc (count, size);
}

void *
__wrap_realloc (void *data, size_t size)
{
  return allocation_fails () ? NULL : __real_realloc (data, size);
}

void
support_fail_allocation (int number)
{
  allocations_left = number;
}

bool
support_allocation_failed (void)
{
  bool failed = allocations_left == 0;

  allocations_left = 0;
  return failed;
}
