#include "configuration/contract.h"

#include "common/string.h"
#include "configuration/document_reader.h"

#include <stdlib.h>
#include <string.h>

#define CONTRACT_MAX_BYTES 65536
#define DEADLINE_MAX_MS 86400000
#define FIRST_TOKEN_MAX_MS 3600000
#define TOKEN_GAP_MAX_MS 60000
#define OUTPUT_TOKENS_MAX 1000000
#define RETRY_WINDOW_MAX_S 86400
#define REQUESTS_PER_S_MAX 1000000
#define TOKENS_PER_S_MAX 100000000
#define CONCURRENCY_MAX 1000000
#define SHARE_MAX_PERMILLE 1000

struct contract_head
{
  struct bd_chunk workspace;
  uint64_t revision;
  struct bd_chunk default_class;
  int32_t retry_window_s;
  const json_t *credentials;
  const json_t *limits;
  const json_t *classes;
};

#define HEAD(name, kind, min, max)                                            \
  {                                                                           \
#name, kind, false, min, max, offsetof(struct contract_head, name)        \
  }
static const struct bd_field head_fields[] = {
  HEAD (workspace, BD_FIELD_NAME, 1, BD_NAME_MAX_BYTES),
  HEAD (revision, BD_FIELD_UINT64, 1, INT64_MAX),
  HEAD (default_class, BD_FIELD_NAME, 1, BD_NAME_MAX_BYTES),
  HEAD (retry_window_s, BD_FIELD_INT32, 1, RETRY_WINDOW_MAX_S),
  HEAD (credentials, BD_FIELD_ARRAY, 0, BD_CREDENTIALS_MAX),
  HEAD (limits, BD_FIELD_OBJECT, 0, INT32_MAX),
  HEAD (classes, BD_FIELD_OBJECT, 1, BD_CLASSES_MAX),
};

#define LIMIT(name, max)                                                      \
  {                                                                           \
#name, BD_FIELD_INT32, false, 1, max, offsetof(struct bd_limits, name)    \
  }
static const struct bd_field limit_fields[] = {
  LIMIT (requests_per_s, REQUESTS_PER_S_MAX),
  LIMIT (tokens_per_s, TOKENS_PER_S_MAX),
  LIMIT (concurrency, CONCURRENCY_MAX),
};

#define CLASS(name, kind, optional, min, max)                                 \
  {                                                                           \
#name, kind, optional, min, max, offsetof(struct bd_class, name)          \
  }
static const struct bd_field class_fields[] = {
  CLASS (tier, BD_FIELD_UINT8, false, 0, BD_TIER_COUNT - 1),
  CLASS (first_token_ms, BD_FIELD_INT32, false, 1, FIRST_TOKEN_MAX_MS),
  CLASS (token_gap_ms, BD_FIELD_INT32, false, 1, TOKEN_GAP_MAX_MS),
  CLASS (deadline_ms, BD_FIELD_INT32, false, 1, DEADLINE_MAX_MS),
  CLASS (idempotent, BD_FIELD_BOOL, false, 0, 0),
  CLASS (pool, BD_FIELD_NAME, true, 0, BD_NAME_MAX_BYTES),
  CLASS (min_share_permille, BD_FIELD_INT32, true, 0, SHARE_MAX_PERMILLE),
  CLASS (max_output_tokens, BD_FIELD_INT32, false, 1, OUTPUT_TOKENS_MAX),
};

#define COUNT_OF(array) (sizeof (array) / sizeof (array)[0])

static bool
credential_valid (struct bd_chunk text)
{
  if (text.length != BD_CREDENTIAL_HEX_LENGTH)
    return false;
  for (size_t i = 0; i < text.length; i++)
    {
      char c = text.data[i];

      if ((c < '0' || c > '9') && (c < 'a' || c > 'f'))
        return false;
    }
  return true;
}

static int
read_credentials (struct bd_reader *reader, const json_t *array,
                  struct bd_contract *contract)
{
  size_t n = json_array_size (array);

  reader->group = "credentials";
  for (size_t i = 0; i < n; i++)
    {
      struct bd_chunk text = bd_json_string (json_array_get (array, i));

      reader->index = i;
      if (!credential_valid (text))
        return bd_reader_fail (reader, "",
                               "is not a SHA-256 hash in lower-case hex");
      memcpy (contract->credentials[i], text.data, text.length);
      for (size_t j = 0; j < i; j++)
        if (strcmp (contract->credentials[i], contract->credentials[j]) == 0)
          return bd_reader_fail (reader, "", "repeats credentials[%zu]", j);
    }
  contract->credential_count = n;
  reader->group = NULL;
  reader->index = BD_READER_NO_INDEX;
  return BD_OK;
}

static int
read_class (const struct bd_reader *reader, const json_t *value,
            struct bd_class *class)
{
  int rc;

  if (!bd_name_valid (class->name, 1, BD_NAME_MAX_BYTES))
    return bd_reader_fail (reader, "",
                           "is not a name of 1 to %d letters, digits, '.', "
                           "'_' or '-'",
                           BD_NAME_MAX_BYTES);
  rc = bd_reader_read (reader, value, class_fields, COUNT_OF (class_fields),
                       class);
  if (rc != BD_OK)
    return rc;
  if (class->deadline_ms < class->first_token_ms)
    return bd_reader_fail (reader, "deadline_ms",
                           "%d is below first_token_ms %d", class->deadline_ms,
                           class->first_token_ms);
  return BD_OK;
}

static int
read_classes (struct bd_reader *reader, const json_t *object,
              struct bd_contract *contract)
{
  int32_t share_sum_permille = 0;
  const char *key;
  json_t *value;

  json_object_foreach ((json_t *)object, key, value)
  {
    struct bd_class *class = &contract->classes[contract->class_count];
    int rc;

    class->name = bd_chunk_of (key);
    reader->group = "classes";
    reader->item = class->name;
    rc = read_class (reader, value, class);
    if (rc != BD_OK)
      return rc;
    share_sum_permille += class->min_share_permille;
    if (share_sum_permille > SHARE_MAX_PERMILLE)
      return bd_reader_fail (reader, "min_share_permille",
                             "brings the sum over classes to %d, above %d",
                             share_sum_permille, SHARE_MAX_PERMILLE);
    contract->class_count++;
  }
  reader->group = NULL;
  return BD_OK;
}

static int
find_default (const struct bd_reader *reader, struct bd_chunk name,
              struct bd_contract *contract)
{
  for (size_t i = 0; i < contract->class_count; i++)
    if (bd_chunk_equal (contract->classes[i].name, name))
      {
        contract->default_class = i;
        return BD_OK;
      }
  return bd_reader_fail (reader, "default_class",
                         "is not a class of the contract");
}

/* Copies the names from the JSON tree to storage owned by the contract. */
static int
copy_names (struct bd_contract *contract)
{
  struct bd_arena arena = { 0 };
  size_t bytes = contract->workspace.length;

  for (size_t i = 0; i < contract->class_count; i++)
    {
      bytes += contract->classes[i].name.length;
      bytes += contract->classes[i].pool.length;
    }
  arena.data = malloc (bytes);
  if (!arena.data)
    return BD_ERR_NOMEM;
  contract->name_storage = arena.data;
  bd_arena_copy (&arena, &contract->workspace);
  for (size_t i = 0; i < contract->class_count; i++)
    {
      bd_arena_copy (&arena, &contract->classes[i].name);
      bd_arena_copy (&arena, &contract->classes[i].pool);
    }
  return BD_OK;
}

static int
read_contract (struct bd_reader *reader, const json_t *root,
               struct bd_contract *contract)
{
  struct contract_head head = { .retry_window_s = 0 };
  int rc;

  reader->subject = bd_json_string (json_object_get (root, "workspace"));
  rc = bd_reader_read (reader, root, head_fields, COUNT_OF (head_fields),
                       &head);
  if (rc != BD_OK)
    return rc;
  contract->workspace = head.workspace;
  contract->revision = head.revision;
  contract->retry_window_s = head.retry_window_s;
  rc = read_credentials (reader, head.credentials, contract);
  if (rc != BD_OK)
    return rc;
  rc = read_classes (reader, head.classes, contract);
  if (rc != BD_OK)
    return rc;
  rc = find_default (reader, head.default_class, contract);
  if (rc != BD_OK)
    return rc;
  reader->group = "limits";
  reader->item = (struct bd_chunk){ 0 };
  rc = bd_reader_read (reader, head.limits, limit_fields,
                       COUNT_OF (limit_fields), &contract->limits);
  return rc != BD_OK ? rc : copy_names (contract);
}

int
bd_contract_parse (struct bd_chunk json, struct bd_contract **contract,
                   char *reason, size_t reason_size)
{
  struct bd_reader reader = { .kind = "workspace",
                              .index = BD_READER_NO_INDEX,
                              .reason = reason,
                              .reason_size = reason_size };
  struct bd_contract *c;
  json_t *root = NULL;
  int rc = bd_reader_load (&reader, json, CONTRACT_MAX_BYTES, &root);

  if (rc != BD_OK)
    return rc;
  c = calloc (1, sizeof *c);
  rc = c ? read_contract (&reader, root, c) : BD_ERR_NOMEM;
  json_decref (root);
  if (rc != BD_OK)
    {
      bd_contract_destroy (c);
      return rc;
    }
  *contract = c;
  return BD_OK;
}

void
bd_contract_destroy (struct bd_contract *contract)
{
  if (!contract)
    return;
  free (contract->name_storage);
  free (contract);
}

const struct bd_class *
bd_contract_find_class (const struct bd_contract *contract,
                        struct bd_chunk name)
{
  if (name.length == 0)
    return &contract->classes[contract->default_class];
  for (size_t i = 0; i < contract->class_count; i++)
    if (bd_chunk_equal (contract->classes[i].name, name))
      return &contract->classes[i];
  return NULL;
}
