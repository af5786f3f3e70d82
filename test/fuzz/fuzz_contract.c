#include "configuration/contract.h"

#include <stdlib.h>
#include <string.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/* Fuzzes the contract parser.  The reason of a rejection must be one line of
   printable text; the default class of a contract must exist. */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct bd_chunk json = { .data = (const char *)data, .length = size };
  struct bd_contract *contract = NULL;
  char reason[300] = "";
  int rc = bd_contract_parse (json, &contract, reason, sizeof reason);

  if (rc == BD_OK)
    {
      if (contract->default_class >= contract->class_count)
        abort ();
      bd_contract_destroy (contract);
      return 0;
    }
  if (rc == BD_ERR_CONTRACT && reason[0] == '\0')
    abort ();
  for (const char *r = reason; *r; r++)
    if (*r < ' ' || *r > '~')
      abort ();
  return 0;
}
