#include "common/json.h"

struct bd_chunk
bd_json_string (const json_t *value)
{
  if (!json_is_string (value))
    return (struct bd_chunk){ NULL, 0 };
  return (struct bd_chunk){ json_string_value (value),
                            json_string_length (value) };
}

struct bd_chunk
bd_json_member_string (const json_t *object, const char *name)
{
  return bd_json_string (json_object_get (object, name));
}

double
bd_json_member_number (const json_t *object, const char *name,
                       double default_value)
{
  const json_t *value = json_object_get (object, name);

  return json_is_number (value) ? json_number_value (value) : default_value;
}
