#include "balance/software.h"

#include "common/log.h"

struct bd_software
bd_software_of (struct bd_chunk text)
{
  struct bd_software software = { .hash = BD_SOFTWARE_UNNAMED };

  if (text.length == 0)
    return software;
  software.hash = bd_chunk_hash (text);
  if (software.hash <= BD_SOFTWARE_UNCERTAIN)
    software.hash += BD_SOFTWARE_UNCERTAIN + 1;
  bd_log_quote (text, software.name, sizeof software.name);
  return software;
}

bool
bd_software_set (struct bd_software *software,
                 const struct bd_software *listed)
{
  uint64_t before = software->hash;

  *software = *listed;
  if (software->hash == BD_SOFTWARE_ANY)
    software->hash = BD_SOFTWARE_UNNAMED;
  return before != BD_SOFTWARE_ANY && before != software->hash;
}

const char *
bd_software_name (const struct bd_software *software)
{
  return software->hash > BD_SOFTWARE_UNCERTAIN ? software->name : "-";
}
