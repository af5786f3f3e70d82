#include "wire/message.h"
#include "wire/pack.h"

#include <string.h>

enum field_kind
{
  FIELD_U32,
  FIELD_U64,
  FIELD_I32,
  FIELD_I64,
  FIELD_ID,
  FIELD_CHUNK
};

struct field
{
  uint8_t tag;
  uint8_t kind;
  size_t offset;
};

#define FIELD(tag, kind, name)                                                \
  {                                                                           \
    (tag), FIELD_##kind, offsetof (struct bd_message, name)                   \
  }

/* A tag must never be reused for another field, because daemons of different
   versions run together. */
static const struct field fields[] = {
  FIELD (1, U32, flags),
  FIELD (2, ID, request),
  FIELD (3, U32, attempt),
  FIELD (4, U64, sequence),
  FIELD (5, U64, incarnation),
  FIELD (6, U64, target_incarnation),
  FIELD (7, U32, tier),
  FIELD (8, U32, tokens),
  FIELD (9, U32, bytes),
  FIELD (10, I64, budget_ms),
  FIELD (11, I64, queue_budget_ms),
  FIELD (12, U32, min_share_permille),
  FIELD (13, U64, prefix_hash),
  FIELD (14, U64, fingerprint),
  FIELD (15, ID, key),
  FIELD (16, U32, key_origin),
  FIELD (17, U64, key_incarnation),
  FIELD (18, I64, key_wall_ms),
  FIELD (19, I64, key_expires_ms),
  FIELD (20, I64, retry_window_ms),
  FIELD (21, CHUNK, workspace),
  FIELD (22, CHUNK, class_name),
  FIELD (23, CHUNK, method),
  FIELD (24, CHUNK, path),
  FIELD (25, CHUNK, content_type),
  FIELD (26, CHUNK, name),
  FIELD (27, CHUNK, body),
  FIELD (28, I32, status),
  FIELD (29, I32, error),
  FIELD (30, U32, ran),
  FIELD (31, I64, retry_after_ms),
  FIELD (32, U64, revision),
  FIELD (33, U64, digest),
  FIELD (34, U32, queued),
  FIELD (35, U32, queued_above),
  FIELD (36, U32, running),
  FIELD (37, U32, slots),
  FIELD (38, U32, token_time_us),
  FIELD (39, CHUNK, zone),
  FIELD (40, CHUNK, address),
  FIELD (41, CHUNK, pool),
  FIELD (42, CHUNK, key_text),
  FIELD (43, I64, sent_ms),
  FIELD (44, I64, echo_ms),
  FIELD (45, I64, confirm_age_ms),
};

#define FIELD_COUNT (sizeof fields / sizeof fields[0])

static const void *
field_at (const struct bd_message *m, const struct field *f)
{
  return (const char *)m + f->offset;
}

static bool
field_is_zero (const struct bd_message *m, const struct field *f)
{
  const void *at = field_at (m, f);

  switch (f->kind)
    {
    case FIELD_U32:
    case FIELD_I32:
      return *(const uint32_t *)at == 0;
    case FIELD_U64:
    case FIELD_I64:
      return *(const uint64_t *)at == 0;
    case FIELD_ID:
      return bd_id_equal (*(const struct bd_id *)at, (struct bd_id){ 0, 0 });
    default:
      return ((const struct bd_chunk *)at)->length == 0;
    }
}

static void
write_field (struct bd_pack *pack, const struct bd_message *m,
             const struct field *f)
{
  const void *at = field_at (m, f);

  bd_pack_uint (pack, f->tag);
  switch (f->kind)
    {
    case FIELD_U32:
      bd_pack_uint (pack, *(const uint32_t *)at);
      break;
    case FIELD_I32:
      bd_pack_int (pack, *(const int32_t *)at);
      break;
    case FIELD_U64:
      bd_pack_uint (pack, *(const uint64_t *)at);
      break;
    case FIELD_I64:
      bd_pack_int (pack, *(const int64_t *)at);
      break;
    case FIELD_ID:
      bd_pack_id (pack, *(const struct bd_id *)at);
      break;
    default:
      bd_pack_bin (pack, *(const struct bd_chunk *)at);
    }
}

int
bd_message_encode (const struct bd_message *message, struct bd_buffer *buffer)
{
  struct bd_pack pack = { .buffer = buffer };
  uint32_t present = 0;

  for (size_t i = 0; i < FIELD_COUNT; i++)
    present += !field_is_zero (message, &fields[i]);
  bd_pack_array (&pack, 3);
  bd_pack_uint (&pack, BD_WIRE_VERSION);
  bd_pack_uint (&pack, message->type);
  bd_pack_map (&pack, present);
  for (size_t i = 0; i < FIELD_COUNT; i++)
    if (!field_is_zero (message, &fields[i]))
      write_field (&pack, message, &fields[i]);
  return pack.error;
}

static uint32_t
unpack_u32 (struct bd_unpack *unpack)
{
  uint64_t value = bd_unpack_uint (unpack);

  if (value > UINT32_MAX)
    unpack->error = BD_ERR_PROTOCOL;
  return (uint32_t)value;
}

static int32_t
unpack_i32 (struct bd_unpack *unpack)
{
  int64_t value = bd_unpack_int (unpack);

  if (value > INT32_MAX || value < INT32_MIN)
    unpack->error = BD_ERR_PROTOCOL;
  return (int32_t)value;
}

static void
read_field (struct bd_unpack *unpack, struct bd_message *m,
            const struct field *f)
{
  void *at = (char *)m + f->offset;

  switch (f->kind)
    {
    case FIELD_U32:
      *(uint32_t *)at = unpack_u32 (unpack);
      break;
    case FIELD_I32:
      *(int32_t *)at = unpack_i32 (unpack);
      break;
    case FIELD_U64:
      *(uint64_t *)at = bd_unpack_uint (unpack);
      break;
    case FIELD_I64:
      *(int64_t *)at = bd_unpack_int (unpack);
      break;
    case FIELD_ID:
      *(struct bd_id *)at = bd_unpack_id (unpack);
      break;
    default:
      *(struct bd_chunk *)at = bd_unpack_bin (unpack);
    }
}

/* Indexed by type; types are dense and start at 1. */
static const struct
{
  const char *name;
  bool control;
} message_types[] = {
#define TYPE_ROW(number, name, sender, control)                               \
  [number] = { #name, (control) != 0 },
  BD_MESSAGE_TABLE (TYPE_ROW)
#undef TYPE_ROW
};

static bool
type_is_known (uint32_t type)
{
  return type >= 1 && type < sizeof message_types / sizeof message_types[0];
}

static const struct field *
find_field (uint64_t tag)
{
  /* Tags are dense and start at 1. */
  return tag >= 1 && tag <= FIELD_COUNT ? &fields[tag - 1] : NULL;
}

static void
read_fields (struct bd_unpack *unpack, struct bd_message *m)
{
  uint32_t count = bd_unpack_map (unpack);

  for (uint32_t i = 0; i < count && unpack->error == BD_OK; i++)
    {
      const struct field *f = find_field (bd_unpack_uint (unpack));

      if (f)
        read_field (unpack, m, f);
      else
        bd_unpack_skip (unpack);
    }
}

int
bd_message_decode (struct bd_chunk frame, struct bd_message *message)
{
  struct bd_unpack unpack = { .rest = frame };
  uint32_t version;

  memset (message, 0, sizeof *message);
  if (frame.length > BD_MESSAGE_MAX_BYTES)
    return BD_ERR_TOO_LARGE;
  if (bd_unpack_array (&unpack) != 3)
    return BD_ERR_PROTOCOL;
  version = unpack_u32 (&unpack);
  message->type = unpack_u32 (&unpack);
  read_fields (&unpack, message);
  if (unpack.error != BD_OK || unpack.rest.length > 0
      || version != BD_WIRE_VERSION || !type_is_known (message->type))
    return BD_ERR_PROTOCOL;
  return BD_OK;
}

const char *
bd_message_name (uint32_t type)
{
  return type_is_known (type) ? message_types[type].name : "unknown";
}

bool
bd_message_is_control (uint32_t type)
{
  return type_is_known (type) && message_types[type].control;
}
