#include "retry/store_era.h"

enum bd_store_era_verdict
bd_store_era_check (struct bd_store_era *era, int parsed, int64_t number,
                    bool nothing_read)
{
  bool rose;

  if (parsed == BD_ERR_NOT_FOUND)
    return era->known ? BD_STORE_ERA_MISSING : BD_STORE_ERA_NONE;
  if (parsed != BD_OK)
    return BD_STORE_ERA_INVALID;
  if (era->known && number < era->number)
    return BD_STORE_ERA_FELL;
  rose = era->known ? number > era->number : !nothing_read;
  *era = (struct bd_store_era){ number, true };
  return rose ? BD_STORE_ERA_ROSE : BD_STORE_ERA_CURRENT;
}

const char *
bd_store_era_fault (enum bd_store_era_verdict verdict)
{
  switch (verdict)
    {
    case BD_STORE_ERA_MISSING:
      return "era_missing";
    case BD_STORE_ERA_INVALID:
      return "era_invalid";
    case BD_STORE_ERA_FELL:
      return "era_fell";
    default:
      return NULL;
    }
}
