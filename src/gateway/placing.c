#include "gateway/placing.h"

#include "wire/pack.h"

#include <string.h>

/* Longest name of a service or an availability zone. */
#define NAME_MAX_BYTES 200
/* Largest duration in a message, in milliseconds. */
#define MS_MAX ((int64_t)24 * 60 * 60 * 1000)
/* Number of values of each kind of message, or of each item in it, after the
   format. */
#define ASK_VALUES 15
#define ANSWER_VALUES 11
#define PLACED_VALUES 8
#define REPORT_VALUES 5
#define PART_VALUES 4

/* Serialization. */

static void
write_ask (struct bd_pack *pack, const struct bd_placing_ask *ask)
{
  bd_pack_uint (pack, ask->number);
  bd_pack_bin (pack, ask->service);
  bd_pack_bin (pack, ask->zone);
  bd_pack_uint (pack, ask->shard);
  bd_pack_uint (pack, ask->shards);
  bd_pack_uint (pack, ask->part);
  bd_pack_uint (pack, ask->shared_tokens);
  bd_pack_uint (pack, ask->own_tokens);
  bd_pack_uint (pack, ask->fetch_us);
  bd_pack_int (pack, ask->overload.objective_ms);
  bd_pack_int (pack, ask->overload.left_ms);
  bd_pack_int (pack, ask->overload.priority);
  bd_pack_int (pack, ask->overload.least_priority);
  bd_pack_uint (pack, ask->again);
  bd_pack_array (pack, (uint32_t)ask->excluded_count);
  for (size_t i = 0; i < ask->excluded_count; i++)
    bd_pack_uint (pack, ask->excluded[i]);
}

static void
write_answer (struct bd_pack *pack, const struct bd_placing_answer *answer)
{
  bd_pack_uint (pack, answer->number);
  bd_pack_uint (pack, answer->verdict);
  bd_pack_uint (pack, answer->target);
  bd_pack_uint (pack, answer->source);
  bd_pack_uint (pack, answer->place);
  bd_pack_uint (pack, answer->prefill_tokens);
  bd_pack_uint (pack, answer->ahead_tokens);
  bd_pack_int (pack, answer->wait_ms);
  bd_pack_int (pack, answer->cost_ms);
  bd_pack_int (pack, answer->limit_ms);
  bd_pack_int (pack, answer->retry_ms);
}

static void
write_placed (struct bd_pack *pack, const struct bd_placing_placed *placed)
{
  bd_pack_uint (pack, placed->number);
  bd_pack_uint (pack, placed->target);
  bd_pack_uint (pack, placed->part);
  bd_pack_uint (pack, placed->prefill_tokens);
  bd_pack_uint (pack, placed->is_short);
  bd_pack_uint (pack, placed->begun);
  bd_pack_int (pack, placed->priority);
  bd_pack_int (pack, placed->left_ms);
}

static void
write_report (struct bd_pack *pack, const struct bd_placing_report *report)
{
  bd_pack_uint (pack, report->number);
  bd_pack_uint (pack, report->ended);
  bd_pack_uint (pack, report->outcome.counted);
  bd_pack_uint (pack, report->outcome.result);
  bd_pack_int (pack, report->outcome.pause_ms);
}

static void
write_part (struct bd_pack *pack, const struct bd_part *part)
{
  bd_pack_uint (pack, part->part);
  bd_pack_uint (pack, part->target);
  bd_pack_int (pack, part->sent_ms);
  bd_pack_uint (pack, part->read);
}

static uint32_t
value_count (const struct bd_placing_message *message)
{
  switch (message->kind)
    {
    case BD_PLACING_ASK:
      return ASK_VALUES;
    case BD_PLACING_ANSWER:
      return ANSWER_VALUES;
    case BD_PLACING_PLACED:
      return (uint32_t)message->placed.count * PLACED_VALUES;
    case BD_PLACING_REPORTS:
      return (uint32_t)message->reports.count * REPORT_VALUES;
    case BD_PLACING_PARTS:
      return 1 + (uint32_t)message->parts.count * PART_VALUES;
    default:
      return 0;
    }
}

int
bd_placing_write (const struct bd_placing_message *message,
                  struct bd_buffer *out)
{
  struct bd_pack pack = { .buffer = out };

  bd_pack_array (&pack, 1 + value_count (message));
  bd_pack_uint (&pack, BD_PLACING_FORMAT + message->kind);
  switch (message->kind)
    {
    case BD_PLACING_ASK:
      write_ask (&pack, &message->ask);
      break;
    case BD_PLACING_ANSWER:
      write_answer (&pack, &message->answer);
      break;
    case BD_PLACING_PLACED:
      for (size_t i = 0; i < message->placed.count; i++)
        write_placed (&pack, &message->placed.items[i]);
      break;
    case BD_PLACING_REPORTS:
      for (size_t i = 0; i < message->reports.count; i++)
        write_report (&pack, &message->reports.items[i]);
      break;
    case BD_PLACING_PARTS:
      bd_pack_uint (&pack, message->parts.complete);
      for (size_t i = 0; i < message->parts.count; i++)
        write_part (&pack, &message->parts.items[i]);
      break;
    default:
      break;
    }
  return pack.error;
}

/* Parsing. */

static void
refuse (struct bd_unpack *u)
{
  u->error = BD_ERR_PROTOCOL;
}

static uint32_t
read_small (struct bd_unpack *u)
{
  uint64_t value = bd_unpack_uint (u);

  if (value > UINT32_MAX)
    refuse (u);
  return (uint32_t)value;
}

static int64_t
read_ms (struct bd_unpack *u)
{
  int64_t ms = bd_unpack_int (u);

  if (ms < -MS_MAX || ms > MS_MAX)
    refuse (u);
  return ms;
}

static struct bd_chunk
read_name (struct bd_unpack *u)
{
  struct bd_chunk name = bd_unpack_bin (u);

  if (name.length > NAME_MAX_BYTES)
    refuse (u);
  return name;
}

static int
read_priority (struct bd_unpack *u)
{
  int64_t priority = bd_unpack_int (u);

  if (priority < 0 || priority > UINT8_MAX)
    refuse (u);
  return (int)priority;
}

static void
read_ask (struct bd_unpack *u, struct bd_placing_ask *ask)
{
  uint32_t count;

  ask->number = read_small (u);
  ask->service = read_name (u);
  ask->zone = read_name (u);
  ask->shard = read_small (u);
  ask->shards = read_small (u);
  ask->part = bd_unpack_uint (u);
  ask->shared_tokens = read_small (u);
  ask->own_tokens = read_small (u);
  ask->fetch_us = read_small (u);
  ask->overload.objective_ms = read_ms (u);
  ask->overload.left_ms = read_ms (u);
  ask->overload.priority = read_priority (u);
  ask->overload.least_priority = read_priority (u);
  ask->again = bd_unpack_uint (u) != 0;
  count = bd_unpack_array (u);
  if (count > BD_PLACING_EXCLUDED_MAX)
    refuse (u);
  for (uint32_t i = 0; i < count && u->error == BD_OK; i++)
    ask->excluded[ask->excluded_count++] = read_small (u);
}

static void
read_answer (struct bd_unpack *u, struct bd_placing_answer *answer)
{
  uint64_t verdict;

  answer->number = read_small (u);
  verdict = bd_unpack_uint (u);
  if (verdict > BD_PLACING_NO_RUNNER)
    refuse (u);
  answer->verdict = (enum bd_placing_verdict)verdict;
  answer->target = read_small (u);
  answer->source = read_small (u);
  answer->place = read_small (u);
  answer->prefill_tokens = read_small (u);
  answer->ahead_tokens = bd_unpack_uint (u);
  answer->wait_ms = read_ms (u);
  answer->cost_ms = read_ms (u);
  answer->limit_ms = read_ms (u);
  answer->retry_ms = read_ms (u);
}

static void
read_placed (struct bd_unpack *u, struct bd_placing_placed *placed)
{
  placed->number = read_small (u);
  placed->target = read_small (u);
  placed->part = bd_unpack_uint (u);
  placed->prefill_tokens = read_small (u);
  placed->is_short = bd_unpack_uint (u) != 0;
  placed->begun = bd_unpack_uint (u) != 0;
  placed->priority = read_priority (u);
  placed->left_ms = read_ms (u);
}

static void
read_report (struct bd_unpack *u, struct bd_placing_report *report)
{
  uint64_t result;

  report->number = read_small (u);
  report->ended = bd_unpack_uint (u) != 0;
  report->outcome.counted = bd_unpack_uint (u) != 0;
  result = bd_unpack_uint (u);
  if (result > BD_RESULT_UNREACHABLE)
    refuse (u);
  report->outcome.result = (enum bd_result)result;
  report->outcome.pause_ms = read_ms (u);
}

static void
read_part (struct bd_unpack *u, struct bd_part *part)
{
  part->part = bd_unpack_uint (u);
  part->target = bd_unpack_uint (u);
  part->sent_ms = read_ms (u);
  part->read = bd_unpack_uint (u) != 0;
  if (part->part == 0)
    refuse (u);
}

int
bd_placing_read (struct bd_chunk bytes, struct bd_placing_message *message)
{
  struct bd_unpack u = { .rest = bytes };
  uint32_t count = bd_unpack_array (&u);
  uint64_t kind = bd_unpack_uint (&u);

  memset (message, 0, sizeof *message);
  if (u.error != BD_OK || count == 0 || kind < BD_PLACING_FORMAT
      || kind >= BD_PLACING_FORMAT + BD_PLACING_KINDS)
    return BD_ERR_PROTOCOL;
  message->kind = (enum bd_placing_kind) (kind - BD_PLACING_FORMAT);
  count--;
  switch (message->kind)
    {
    case BD_PLACING_ASK:
      read_ask (&u, &message->ask);
      break;
    case BD_PLACING_ANSWER:
      read_answer (&u, &message->answer);
      break;
    case BD_PLACING_PLACED:
      if (count > BD_PLACING_PLACED_MAX * PLACED_VALUES)
        return BD_ERR_PROTOCOL;
      for (uint32_t i = 0; i < count / PLACED_VALUES && u.error == BD_OK; i++)
        read_placed (&u, &message->placed.items[message->placed.count++]);
      break;
    case BD_PLACING_REPORTS:
      if (count > BD_PLACING_REPORTS_MAX * REPORT_VALUES)
        return BD_ERR_PROTOCOL;
      for (uint32_t i = 0; i < count / REPORT_VALUES && u.error == BD_OK; i++)
        read_report (&u, &message->reports.items[message->reports.count++]);
      break;
    case BD_PLACING_PARTS:
      if (count == 0 || count > 1 + BD_PLACING_PARTS_MAX * PART_VALUES)
        return BD_ERR_PROTOCOL;
      message->parts.complete = bd_unpack_uint (&u) != 0;
      for (uint32_t i = 0; i < (count - 1) / PART_VALUES && u.error == BD_OK;
           i++)
        read_part (&u, &message->parts.items[message->parts.count++]);
      break;
    default:
      return BD_ERR_PROTOCOL;
    }
  return u.error;
}
