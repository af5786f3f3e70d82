#include "configuration/config_json.h"

#include <jansson.h>
#include <stdlib.h>

int
bd_config_json_append (struct json_t *root, struct bd_buffer *json)
{
  char *text = root ? json_dumps (root, JSON_COMPACT) : NULL;
  int rc = text ? bd_buffer_append (json, bd_chunk_of (text)) : BD_ERR_NOMEM;

  free (text);
  json_decref (root);
  return rc;
}

static json_t *
describe_class (const struct bd_class *c)
{
  return json_pack ("{s:i, s:i, s:i, s:i, s:b, s:s#, s:i, s:i}", "tier",
                    c->tier, "first_token_ms", c->first_token_ms,
                    "token_gap_ms", c->token_gap_ms, "deadline_ms",
                    c->deadline_ms, "idempotent", c->idempotent, "pool",
                    c->pool.data ? c->pool.data : "", (int)c->pool.length,
                    "min_share_permille", c->min_share_permille,
                    "max_output_tokens", c->max_output_tokens);
}

static json_t *
describe_contract (const struct bd_contract *c)
{
  json_t *classes = json_object ();

  for (size_t i = 0; i < c->class_count; i++)
    json_object_setn_new (classes, c->classes[i].name.data,
                          c->classes[i].name.length,
                          describe_class (&c->classes[i]));
  return json_pack ("{s:s#, s:I, s:s#, s:i, s:i, s:{s:i, s:i, s:i}, s:o}",
                    "workspace", c->workspace.data, (int)c->workspace.length,
                    "revision", (json_int_t)c->revision, "default_class",
                    c->classes[c->default_class].name.data,
                    (int)c->classes[c->default_class].name.length,
                    "retry_window_s", c->retry_window_s, "credentials",
                    (int)c->credential_count, "limits", "requests_per_s",
                    c->limits.requests_per_s, "tokens_per_s",
                    c->limits.tokens_per_s, "concurrency",
                    c->limits.concurrency, "classes", classes);
}

int
bd_config_json_contracts (const struct bd_config *config,
                          struct bd_buffer *json)
{
  struct bd_config_snapshot *snapshot = bd_config_snapshot (config);
  json_t *list = json_array ();

  for (size_t i = 0; snapshot && i < snapshot->contract_count; i++)
    json_array_append_new (list, describe_contract (snapshot->contracts[i]));
  if (snapshot)
    bd_config_snapshot_release (snapshot);
  return bd_config_json_append (json_pack ("{s:o}", "contracts", list), json);
}
