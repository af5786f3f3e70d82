#include "entry/request.h"
#include "common/clock.h"

#include <jansson.h>
#include <string.h>

/* Bytes at the start of a prompt whose hash decides where its prefix is
   cached. */
#define PROMPT_PREFIX_BYTES 1024
#define BEARER_PREFIX "Bearer "

struct model_request
{
  char model[BD_NAME_MAX_BYTES + 1];
  bool stream;
  int32_t max_tokens;
  uint64_t prefix_hash;
};

static int
hash_prompt_prefix (json_t *root, struct model_request *fields)
{
  json_t *prompt = json_object_get (root, "prompt");
  char *text = NULL;
  size_t length;

  if (!prompt)
    prompt = json_object_get (root, "messages");
  if (!prompt)
    return BD_ERR_INVALID;
  text = json_dumps (prompt, JSON_COMPACT | JSON_ENCODE_ANY);
  if (!text)
    return BD_ERR_NOMEM;
  length = strlen (text);
  if (length > PROMPT_PREFIX_BYTES)
    length = PROMPT_PREFIX_BYTES;
  fields->prefix_hash = bd_chunk_hash ((struct bd_chunk){ text, length });
  free (text);
  return BD_OK;
}

static int
parse_model_fields (json_t *root, struct model_request *fields)
{
  json_t *model = json_object_get (root, "model");
  json_int_t max = json_integer_value (json_object_get (root, "max_tokens"));

  memset (fields, 0, sizeof *fields);
  if (!json_is_string (model)
      || json_string_length (model) > BD_NAME_MAX_BYTES)
    return BD_ERR_INVALID;
  memcpy (fields->model, json_string_value (model),
          json_string_length (model) + 1);
  fields->stream = json_is_true (json_object_get (root, "stream"));
  fields->max_tokens = max > 0 && max < INT32_MAX ? (int32_t)max : 0;
  return hash_prompt_prefix (root, fields);
}

static int
parse_model_body (struct bd_chunk body, struct model_request *fields)
{
  json_t *root = json_loadb (body.data ? body.data : "", body.length,
                             JSON_REJECT_DUPLICATES, NULL);
  int rc = json_is_object (root) ? parse_model_fields (root, fields)
                                 : BD_ERR_INVALID;

  json_decref (root);
  return rc;
}

static struct bd_chunk
bearer_secret (struct bd_chunk authorization)
{
  size_t prefix = sizeof BEARER_PREFIX - 1;
  struct bd_chunk none = { NULL, 0 };

  if (authorization.length <= prefix
      || memcmp (authorization.data, BEARER_PREFIX, prefix) != 0)
    return none;
  return (struct bd_chunk){ authorization.data + prefix,
                            authorization.length - prefix };
}

const struct bd_contract *
bd_request_find_contract (const struct bd_config_snapshot *snapshot,
                          struct bd_chunk authorization)
{
  return bd_config_find_credential (snapshot, bearer_secret (authorization));
}

/* Copies the texts into the call's buffer and points them there.  They are
   all appended first, since appending may move the buffer. */
static int
copy_texts (struct bd_http_call *call, struct bd_chunk **text_storage,
            size_t count)
{
  size_t total = 0;

  for (size_t i = 0; i < count; i++)
    {
      if (bd_buffer_append (&call->text_storage, *text_storage[i]) != BD_OK)
        return BD_ERR_NOMEM;
    }
  for (size_t i = 0; i < count; i++)
    {
      text_storage[i]->data = call->text_storage.data + total;
      total += text_storage[i]->length;
    }
  return BD_OK;
}

static int
fill_issued_key (struct bd_dispatch_request *r, struct bd_token *token,
                 const struct bd_token_keys *keys)
{
  int rc = bd_token_open (keys, r->key_text, token);

  if (rc != BD_OK)
    return rc;
  rc = bd_token_check (token, bd_chunk_hash (r->workspace),
                       bd_chunk_hash (r->class_name), bd_clock_wall_ms ());
  if (rc != BD_OK)
    return rc;
  r->key_owner = bd_chunk_of (token->first_owner);
  r->key_incarnation = token->incarnation;
  r->key_wall_ms = token->created_wall_ms;
  r->key_expires_ms = token->expires_wall_ms;
  return BD_OK;
}

static int
fill_key (struct bd_dispatch_request *r, struct bd_token *token,
          const struct bd_token_keys *keys)
{
  int origin = bd_key_classify (r->key_text, &r->key_wall_ms);

  if (origin < 0)
    return origin;
  r->key_origin = (enum bd_key_origin)origin;
  r->key = bd_key_make (r->workspace, r->key_text).id;
  return origin == BD_KEY_ISSUED ? fill_issued_key (r, token, keys) : BD_OK;
}

static void
fill_class (struct bd_dispatch_request *r, const struct bd_contract *contract,
            const struct bd_class *class)
{
  r->workspace = contract->workspace;
  r->class_name = class->name;
  r->tier = class->tier;
  r->deadline_ms = class->deadline_ms;
  r->first_token_ms = class->first_token_ms;
  r->min_share_permille = class->min_share_permille;
  r->retry_window_ms = (int64_t)contract->retry_window_s * 1000;
  if (class->idempotent)
    r->flags |= BD_FLAG_IDEMPOTENT;
}

static int
fill_target (struct bd_dispatch_request *r, const struct bd_class *class,
             const struct bd_http_input *input, const char *model,
             const struct bd_config_snapshot *snapshot)
{
  const struct bd_pool *pool;

  r->pool = class->pool.length > 0      ? class->pool
            : input->service.length > 0 ? input->service
                                        : bd_chunk_of (model);
  pool = bd_config_find_pool (snapshot, r->pool);
  if (!pool)
    return BD_ERR_NOT_FOUND;
  if (input->service.length > 0)
    {
      r->flags |= BD_FLAG_SERVICE;
      if (!bd_chunk_equal (input->service, pool->name))
        return BD_ERR_FORBIDDEN;
    }
  return (pool->kind == BD_POOL_SERVICE) == (input->service.length > 0)
             ? BD_OK
             : BD_ERR_NOT_FOUND;
}

static void
fill_model_fields (struct bd_dispatch_request *r, const struct bd_class *class,
                   const struct model_request *fields)
{
  r->max_tokens = fields->max_tokens;
  if (class->max_output_tokens > 0
      && (r->max_tokens == 0 || r->max_tokens > class->max_output_tokens))
    r->max_tokens = class->max_output_tokens;
  r->prefix_hash = fields->prefix_hash;
  if (fields->stream)
    r->flags |= BD_FLAG_STREAM;
}

/* Identifies a request by its content: equal for the same method, path and
   body of the same workspace. */
static uint64_t
request_fingerprint (const struct bd_dispatch_request *r)
{
  uint64_t parts[4]
      = { bd_chunk_hash (r->workspace), bd_chunk_hash (r->method),
          bd_chunk_hash (r->path), bd_chunk_hash (r->body) };

  return bd_chunk_hash (
      (struct bd_chunk){ (const char *)parts, sizeof parts });
}

static int
fill_from_contract (struct bd_http_call *call,
                    const struct bd_http_input *input,
                    const struct bd_config_snapshot *snapshot,
                    const struct model_request *fields,
                    const struct bd_token_keys *keys)
{
  struct bd_dispatch_request *r = &call->request;
  const struct bd_contract *contract
      = bd_request_find_contract (snapshot, input->authorization);
  const struct bd_class *class;
  struct bd_token token;
  struct bd_chunk *text_storage[]
      = { &r->workspace, &r->class_name,   &r->pool,     &r->method,
          &r->path,      &r->content_type, &r->key_text, &r->key_owner };
  int rc;

  if (!contract)
    return BD_ERR_UNAUTHORIZED;
  class = bd_contract_find_class (contract, input->class_name);
  if (!class)
    return BD_ERR_NOT_FOUND;
  fill_class (r, contract, class);
  call->token_gap_ms = class->token_gap_ms;
  fill_model_fields (r, class, fields);
  rc = fill_target (r, class, input, fields->model, snapshot);
  if (rc != BD_OK)
    return rc;
  r->method = input->method;
  r->path = input->path;
  r->content_type = input->content_type;
  r->key_text = input->key_text;
  /* A key sent with an idempotent request is ignored. */
  if (class->idempotent)
    r->key_text.length = 0;
  if (r->key_text.length > 0)
    rc = fill_key (r, &token, keys);
  if (rc == BD_OK)
    rc = copy_texts (call, text_storage,
                     sizeof text_storage / sizeof text_storage[0]);
  if (rc != BD_OK)
    return rc;
  r->fingerprint = request_fingerprint (r);
  return class->idempotent || r->key_text.length > 0 ? BD_OK
                                                     : BD_ERR_KEY_REQUIRED;
}

int
bd_request_fill (struct bd_http_call *call, const struct bd_http_input *input,
                 struct bd_config_view *view, const struct bd_token_keys *keys)
{
  const struct bd_config_snapshot *snapshot;
  struct model_request fields = { 0 };
  int rc = BD_OK;

  call->request.body = bd_buffer_chunk (&call->body);
  if (input->service.length == 0)
    rc = parse_model_body (call->request.body, &fields);
  snapshot = bd_config_view_read_lock (view);
  if (!snapshot)
    rc = BD_ERR_NOT_READY;
  /* An unknown credential is reported before an invalid request. */
  else if (rc != BD_OK
           && !bd_request_find_contract (snapshot, input->authorization))
    rc = BD_ERR_UNAUTHORIZED;
  else if (rc == BD_OK)
    rc = fill_from_contract (call, input, snapshot, &fields, keys);
  bd_config_view_read_unlock ();
  return rc;
}
