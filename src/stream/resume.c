#include "stream/resume.h"

#include "common/json.h"

#include <stdlib.h>

static json_t *
event_text (json_t *choice)
{
  json_t *delta = json_object_get (choice, "delta");

  return delta ? json_object_get (delta, "content")
               : json_object_get (choice, "text");
}

void
bd_resume_append_text (struct bd_chunk json, struct bd_buffer *text)
{
  json_t *root = json_loadb (json.data ? json.data : "", json.length, 0, NULL);
  json_t *choice = json_array_get (json_object_get (root, "choices"), 0);
  json_t *value = event_text (choice);

  if (json_is_string (value))
    bd_buffer_append (text, bd_json_string (value));
  json_decref (root);
}

int
bd_resume_body (struct bd_chunk body, struct bd_chunk text,
                struct bd_buffer *out)
{
  json_t *root = json_loadb (body.data ? body.data : "", body.length, 0, NULL);
  json_t *value = json_stringn (text.length > 0 ? text.data : "", text.length);
  char *dump = NULL;
  int rc = BD_ERR_INVALID;

  if (json_is_object (root) && value
      && json_object_set (root, "continue_from", value) == 0)
    {
      dump = json_dumps (root, JSON_COMPACT);
      rc = dump ? bd_buffer_append (out, bd_chunk_of (dump)) : BD_ERR_NOMEM;
    }
  free (dump);
  json_decref (value);
  json_decref (root);
  return rc;
}
