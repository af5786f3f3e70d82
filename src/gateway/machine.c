#include "gateway/machine.h"

#include "common/json.h"

#define BYTES_PER_MB ((size_t)1024 * 1024)
/* Larger numbers are reduced to this one. */
#define NUMBER_MAX 1e6

static size_t
read_count (const json_t *settings, const char *name)
{
  double number = bd_json_member_number (settings, name, 0);

  if (!(number > 0))
    return 0;
  return (size_t)(number < NUMBER_MAX ? number : NUMBER_MAX);
}

struct bd_machine
bd_machine_read (const json_t *settings)
{
  return (struct bd_machine){
    .memory_bytes = read_count (settings, "memory_mb") * BYTES_PER_MB,
    .descriptors_max = read_count (settings, "max_fds")
  };
}
