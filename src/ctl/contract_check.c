#include "ctl/ctl.h"

#include "configuration/contract.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

/* The configuration service stores no larger values. */
#define DOCUMENT_MAX_BYTES ((size_t)1 << 20)
#define REASON_MAX_BYTES 512
#define READ_BYTES 65536

/* Reads FILE into TEXT.  Returns false, with REASON set, if the file cannot be
   read or is too large. */
static bool
read_file (const char *file, struct bd_buffer *text, char *reason)
{
  FILE *stream = fopen (file, "rb");
  char block[READ_BYTES];
  size_t length = 1;
  bool ok = stream != NULL;

  while (ok && length > 0 && text->length <= DOCUMENT_MAX_BYTES)
    {
      length = fread (block, 1, sizeof block, stream);
      ok = !ferror (stream)
           && bd_buffer_append (text, (struct bd_chunk){ block, length })
                  == BD_OK;
    }
  if (!ok)
    snprintf (reason, REASON_MAX_BYTES, "cannot be read: %s",
              strerror (errno));
  else if (text->length > DOCUMENT_MAX_BYTES)
    {
      snprintf (reason, REASON_MAX_BYTES, "is larger than %zu bytes",
                DOCUMENT_MAX_BYTES);
      ok = false;
    }
  if (stream)
    fclose (stream);
  return ok;
}

/* Returns TEXT as a new JSON string, or a placeholder if TEXT is not UTF-8,
   which JSON cannot represent. */
static json_t *
json_string_or_placeholder (const char *text)
{
  json_t *string = json_string (text);

  return string ? string : json_string ("not UTF-8");
}

static void
print_result (const struct bd_ctl_options *options,
              const struct bd_contract *contract, const char *reason)
{
  const char *file = options->arguments[2];
  json_t *root;

  if (options->json)
    {
      root = json_pack ("{s:o, s:b, s:o}", "file",
                        json_string_or_placeholder (file), "valid",
                        contract != NULL, "reason",
                        json_string_or_placeholder (reason));
      bd_ctl_print_json (root);
      json_decref (root);
      return;
    }
  bd_ctl_print_text (bd_chunk_of (file));
  fputs (": ", stdout);
  if (contract)
    {
      fputs ("valid, workspace ", stdout);
      bd_ctl_print_text (contract->workspace);
      printf (", revision %llu, %zu classes",
              (unsigned long long)contract->revision, contract->class_count);
    }
  else
    bd_ctl_print_text (bd_chunk_of (reason));
  putchar ('\n');
}

enum bd_ctl_exit
bd_ctl_contract_check (const struct bd_ctl_options *options)
{
  struct bd_contract *contract = NULL;
  struct bd_buffer text = { 0 };
  char reason[REASON_MAX_BYTES] = "";
  bool valid;

  valid = read_file (options->arguments[2], &text, reason)
          && bd_contract_parse (bd_buffer_chunk (&text), &contract, reason,
                                sizeof reason)
                 == BD_OK;
  print_result (options, valid ? contract : NULL, reason);
  if (valid)
    bd_contract_destroy (contract);
  bd_buffer_clear (&text);
  return valid ? BD_CTL_OK : BD_CTL_FAILED;
}
