#include "configuration/document_reader.h"

#include "common/string.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SHOWN_MAX_BYTES 64
#define PORT_MAX 65535
#define PORT_MAX_DIGITS 5

/* Text from a document must not add line breaks or control bytes to a log
   line. */
static void
replace_unprintable (char *text)
{
  for (; *text; text++)
    if (*text < ' ' || *text > '~')
      *text = '?';
}

static int
shown_length (struct bd_chunk chunk)
{
  return chunk.length < SHOWN_MAX_BYTES ? (int)chunk.length : SHOWN_MAX_BYTES;
}

/* Writes "group", "group.item" or "group[index]"; empty outside of a
   group. */
static void
format_location (const struct bd_reader *reader, char *location, size_t size)
{
  location[0] = '\0';
  if (!reader->group)
    return;
  if (reader->item.length > 0)
    snprintf (location, size, "%s.%.*s", reader->group,
              shown_length (reader->item), reader->item.data);
  else if (reader->index != BD_READER_NO_INDEX)
    snprintf (location, size, "%s[%zu]", reader->group, reader->index);
  else
    snprintf (location, size, "%s", reader->group);
}

int
bd_reader_fail (const struct bd_reader *reader, const char *field,
                const char *format, ...)
{
  char location[2 * SHOWN_MAX_BYTES] = "";
  char text[256];
  const char *separator = "";
  va_list args;

  if (reader->reason_size == 0)
    return BD_ERR_CONTRACT;
  format_location (reader, location, sizeof location);
  if (*location && *field)
    separator = ".";
  va_start (args, format);
  vsnprintf (text, sizeof text, format, args);
  va_end (args);
  snprintf (reader->reason, reader->reason_size, "%s %.*s: field %s%s%.*s: %s",
            reader->kind, shown_length (reader->subject),
            reader->subject.length > 0 ? reader->subject.data : "", location,
            separator, SHOWN_MAX_BYTES, field, text);
  replace_unprintable (reader->reason);
  return BD_ERR_CONTRACT;
}

int
bd_reader_load (const struct bd_reader *reader, struct bd_chunk text,
                size_t max_bytes, json_t **root)
{
  json_error_t error;
  char location[SHOWN_MAX_BYTES];

  if (text.length == 0)
    return bd_reader_fail (reader, "(document)", "is empty");
  if (text.length > max_bytes)
    return bd_reader_fail (reader, "(document)",
                           "has %zu bytes, more than %zu", text.length,
                           max_bytes);
  *root = json_loadb (text.data, text.length, JSON_REJECT_DUPLICATES, &error);
  if (!*root && json_error_code (&error) == json_error_out_of_memory)
    return BD_ERR_NOMEM;
  if (!*root)
    {
      snprintf (location, sizeof location, "(line %d, column %d)", error.line,
                error.column);
      return bd_reader_fail (reader, location, "%s", error.text);
    }
  if (json_is_object (*root))
    return BD_OK;
  json_decref (*root);
  *root = NULL;
  return bd_reader_fail (reader, "(document)", "is not an object");
}

static bool
is_alnum (char c)
{
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
         || (c >= '0' && c <= '9');
}

bool
bd_name_valid (struct bd_chunk name, size_t min, size_t max)
{
  if (name.length < min || name.length > max)
    return false;
  if (name.length > 0 && !is_alnum (name.data[0]))
    return false;
  for (size_t i = 0; i < name.length; i++)
    {
      char c = name.data[i];

      if (!is_alnum (c) && c != '.' && c != '_' && c != '-')
        return false;
    }
  return true;
}

static bool
port_valid (struct bd_chunk digits)
{
  long port = 0;

  if (digits.length == 0 || digits.length > PORT_MAX_DIGITS)
    return false;
  for (size_t i = 0; i < digits.length; i++)
    {
      if (digits.data[i] < '0' || digits.data[i] > '9')
        return false;
      port = port * 10 + (digits.data[i] - '0');
    }
  return port > 0 && port <= PORT_MAX;
}

static bool
address_valid (struct bd_chunk address)
{
  char host[INET6_ADDRSTRLEN + 2];
  unsigned char raw[sizeof (struct in6_addr)];
  const char *colon = NULL;
  size_t length;

  for (size_t i = 0; i < address.length; i++)
    if (address.data[i] == ':')
      colon = address.data + i;
  if (!colon)
    return false;
  length = (size_t)(colon - address.data);
  if (length == 0 || length >= sizeof host)
    return false;
  if (!port_valid ((struct bd_chunk){ .data = colon + 1,
                                      .length = address.length - length - 1 }))
    return false;
  memcpy (host, address.data, length);
  host[length] = '\0';
  if (host[0] != '[')
    return inet_pton (AF_INET, host, raw) == 1;
  if (host[length - 1] != ']')
    return false;
  host[length - 1] = '\0';
  return inet_pton (AF_INET6, host + 1, raw) == 1;
}

static int
read_integer (const struct bd_reader *reader, const struct bd_field *field,
              const json_t *value, void *target)
{
  json_int_t v;

  if (!json_is_integer (value))
    return bd_reader_fail (reader, field->name, "is not an integer");
  v = json_integer_value (value);
  if (v < field->min || v > field->max)
    return bd_reader_fail (reader, field->name, "%lld is not in %lld..%lld",
                           (long long)v, (long long)field->min,
                           (long long)field->max);
  if (field->kind == BD_FIELD_INT32)
    *(int32_t *)target = (int32_t)v;
  else if (field->kind == BD_FIELD_UINT8)
    *(uint8_t *)target = (uint8_t)v;
  else
    *(uint64_t *)target = (uint64_t)v;
  return BD_OK;
}

static int
read_text (const struct bd_reader *reader, const struct bd_field *field,
           const json_t *value, struct bd_chunk *target)
{
  struct bd_chunk text = bd_json_string (value);

  if (!json_is_string (value))
    return bd_reader_fail (reader, field->name, "is not a string");
  if (field->kind == BD_FIELD_NAME
      && !bd_name_valid (text, (size_t)field->min, (size_t)field->max))
    return bd_reader_fail (reader, field->name,
                           "is not a name of %lld to %lld letters, digits, "
                           "'.', '_' or '-'",
                           (long long)field->min, (long long)field->max);
  if (field->kind == BD_FIELD_ADDRESS && !address_valid (text))
    return bd_reader_fail (reader, field->name,
                           "is not an address like 127.0.0.1:7001");
  *target = text;
  return BD_OK;
}

static int
read_container (const struct bd_reader *reader, const struct bd_field *field,
                const json_t *value, const json_t **target)
{
  bool object = field->kind == BD_FIELD_OBJECT;
  size_t n = object ? json_object_size (value) : json_array_size (value);

  if (object ? !json_is_object (value) : !json_is_array (value))
    return bd_reader_fail (reader, field->name, "is not an %s",
                           object ? "object" : "array");
  if ((int64_t)n < field->min || (int64_t)n > field->max)
    return bd_reader_fail (reader, field->name,
                           "has %zu elements, not %lld..%lld", n,
                           (long long)field->min, (long long)field->max);
  *target = value;
  return BD_OK;
}

static int
read_field (const struct bd_reader *reader, const struct bd_field *field,
            const json_t *value, void *target)
{
  switch (field->kind)
    {
    case BD_FIELD_INT32:
    case BD_FIELD_UINT8:
    case BD_FIELD_UINT64:
      return read_integer (reader, field, value, target);
    case BD_FIELD_NAME:
    case BD_FIELD_ADDRESS:
      return read_text (reader, field, value, target);
    case BD_FIELD_OBJECT:
    case BD_FIELD_ARRAY:
      return read_container (reader, field, value, target);
    case BD_FIELD_BOOL:
      if (!json_is_boolean (value))
        return bd_reader_fail (reader, field->name, "is not true or false");
      *(bool *)target = json_is_true (value);
      return BD_OK;
    }
  return BD_ERR_INTERNAL;
}

static int
fail_unknown_field (const struct bd_reader *reader, const json_t *object,
                    const struct bd_field *fields, size_t count)
{
  const char *key;
  json_t *value;

  json_object_foreach ((json_t *)object, key, value)
  {
    size_t i = 0;

    while (i < count && strcmp (fields[i].name, key) != 0)
      i++;
    if (i == count)
      return bd_reader_fail (reader, key, "is unknown");
  }
  return BD_ERR_INTERNAL;
}

int
bd_reader_read (const struct bd_reader *reader, const json_t *object,
                const struct bd_field *fields, size_t count, void *record)
{
  size_t found = 0;

  if (!json_is_object (object))
    return bd_reader_fail (reader, "", "is not an object");
  for (size_t i = 0; i < count; i++)
    {
      const json_t *value = json_object_get (object, fields[i].name);
      int rc;

      if (!value && fields[i].optional)
        continue;
      if (!value)
        return bd_reader_fail (reader, fields[i].name, "is missing");
      found++;
      rc = read_field (reader, &fields[i], value,
                       (char *)record + fields[i].offset);
      if (rc != BD_OK)
        return rc;
    }
  if (found < json_object_size (object))
    return fail_unknown_field (reader, object, fields, count);
  return BD_OK;
}

void
bd_arena_copy (struct bd_arena *arena, struct bd_chunk *chunk)
{
  char *target = arena->data + arena->length;

  if (chunk->length > 0)
    memcpy (target, chunk->data, chunk->length);
  arena->length += chunk->length;
  chunk->data = target;
}
