#include "gateway/coordination.h"

#include "wire/pack.h"

#include <string.h>

/* Longest name of a service or an availability zone. */
#define NAME_MAX_BYTES 200
/* Largest duration in a message, in milliseconds. */
#define DURATION_MAX_MS ((int64_t)24 * 60 * 60 * 1000)
/* Number of values after the format, in a message or in each of its items. */
#define QUERY_VALUES 20
/* Instances of older versions send fewer values: nothing about streams. */
#define REPLY_VALUES 14
/* Instances of older versions send no software, older ones no limit_rate. */
#define REPLY_VALUES_LIMIT 12
#define NOTICE_VALUES 8
#define REPORT_VALUES 5
#define PREFIX_VALUES 4

/* Serialization. */

static void
write_query (struct bd_pack *pack, const struct bd_coordination_query *query)
{
  bd_pack_uint (pack, query->request_number);
  bd_pack_bin (pack, query->service);
  bd_pack_bin (pack, query->zone);
  bd_pack_uint (pack, query->shard);
  bd_pack_uint (pack, query->shard_count);
  bd_pack_uint (pack, query->prefix_hash);
  bd_pack_uint (pack, query->prefix_tokens);
  bd_pack_uint (pack, query->unshared_tokens);
  bd_pack_uint (pack, query->fetch_us_per_k);
  bd_pack_int (pack, query->overload.objective_ms);
  bd_pack_int (pack, query->overload.time_left_ms);
  bd_pack_int (pack, query->overload.priority);
  bd_pack_int (pack, query->overload.lowest_priority);
  bd_pack_uint (pack, query->is_retry);
  bd_pack_array (pack, (uint32_t)query->excluded_count);
  for (size_t i = 0; i < query->excluded_count; i++)
    bd_pack_uint (pack, query->excluded[i]);
  bd_pack_uint (pack, query->software);
  bd_pack_uint (pack, query->continues);
  bd_pack_uint (pack, query->stream);
  bd_pack_uint (pack, query->own_part);
  bd_pack_int (pack, query->waited_ms);
}

static void
write_reply (struct bd_pack *pack, const struct bd_coordination_reply *reply)
{
  bd_pack_uint (pack, reply->request_number);
  bd_pack_uint (pack, reply->verdict);
  bd_pack_uint (pack, reply->target);
  bd_pack_uint (pack, reply->source);
  bd_pack_uint (pack, reply->selection_reason);
  bd_pack_uint (pack, reply->prefill_tokens);
  bd_pack_uint (pack, reply->ahead_tokens);
  bd_pack_int (pack, reply->wait_ms);
  bd_pack_int (pack, reply->cost_ms);
  bd_pack_int (pack, reply->max_wait_ms);
  bd_pack_int (pack, reply->retry_after_ms);
  bd_pack_uint (pack, reply->limit_rate);
  bd_pack_uint (pack, reply->software);
  bd_pack_uint (pack, reply->unconfirmed);
}

static void
write_notice (struct bd_pack *pack,
              const struct bd_coordination_notice *notice)
{
  bd_pack_uint (pack, notice->request_number);
  bd_pack_uint (pack, notice->target);
  bd_pack_uint (pack, notice->prefix_hash);
  bd_pack_uint (pack, notice->prefill_tokens);
  bd_pack_uint (pack, notice->is_short);
  bd_pack_uint (pack, notice->prefill_done);
  bd_pack_int (pack, notice->priority);
  bd_pack_int (pack, notice->time_left_ms);
}

static void
write_report (struct bd_pack *pack,
              const struct bd_coordination_report *report)
{
  bd_pack_uint (pack, report->request_number);
  bd_pack_uint (pack, report->attempt_ended);
  bd_pack_uint (pack, report->outcome.has_result);
  bd_pack_uint (pack, report->outcome.result);
  bd_pack_int (pack, report->outcome.pause_ms);
}

static void
write_prefix (struct bd_pack *pack, const struct bd_prefix_entry *prefix)
{
  bd_pack_uint (pack, prefix->prefix_hash);
  bd_pack_uint (pack, prefix->target_hash);
  bd_pack_int (pack, prefix->sent_ms);
  bd_pack_uint (pack, prefix->cached);
}

static uint32_t
value_count (const struct bd_coordination_message *message)
{
  switch (message->kind)
    {
    case BD_COORDINATION_QUERY:
      return QUERY_VALUES;
    case BD_COORDINATION_REPLY:
      return REPLY_VALUES;
    case BD_COORDINATION_NOTICES:
      return (uint32_t)message->notices.count * NOTICE_VALUES;
    case BD_COORDINATION_REPORTS:
      return (uint32_t)message->reports.count * REPORT_VALUES;
    case BD_COORDINATION_PREFIXES:
      return 1 + (uint32_t)message->prefixes.count * PREFIX_VALUES;
    case BD_COORDINATION_LIMIT:
      return 1;
    case BD_COORDINATION_ORIGINS:
      return (uint32_t)message->origins.count * BD_ORIGIN_NOTICE_VALUES;
    default:
      return 0;
    }
}

int
bd_coordination_write (const struct bd_coordination_message *message,
                       struct bd_buffer *out)
{
  struct bd_pack pack = { .buffer = out };

  bd_pack_array (&pack, 1 + value_count (message));
  bd_pack_uint (&pack, BD_COORDINATION_FORMAT + message->kind);
  switch (message->kind)
    {
    case BD_COORDINATION_QUERY:
      write_query (&pack, &message->query);
      break;
    case BD_COORDINATION_REPLY:
      write_reply (&pack, &message->reply);
      break;
    case BD_COORDINATION_NOTICES:
      for (size_t i = 0; i < message->notices.count; i++)
        write_notice (&pack, &message->notices.items[i]);
      break;
    case BD_COORDINATION_REPORTS:
      for (size_t i = 0; i < message->reports.count; i++)
        write_report (&pack, &message->reports.items[i]);
      break;
    case BD_COORDINATION_PREFIXES:
      bd_pack_uint (&pack, message->prefixes.complete);
      for (size_t i = 0; i < message->prefixes.count; i++)
        write_prefix (&pack, &message->prefixes.items[i]);
      break;
    case BD_COORDINATION_LIMIT:
      bd_limit_notice_write (&pack, &message->limit);
      break;
    case BD_COORDINATION_ORIGINS:
      for (size_t i = 0; i < message->origins.count; i++)
        bd_origin_notice_write (&pack, &message->origins.items[i]);
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
read_uint32 (struct bd_unpack *u)
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

  if (ms < -DURATION_MAX_MS || ms > DURATION_MAX_MS)
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
read_query (struct bd_unpack *u, uint32_t value_count,
            struct bd_coordination_query *query)
{
  uint32_t count;

  query->request_number = read_uint32 (u);
  query->service = read_name (u);
  query->zone = read_name (u);
  query->shard = read_uint32 (u);
  query->shard_count = read_uint32 (u);
  query->prefix_hash = bd_unpack_uint (u);
  query->prefix_tokens = read_uint32 (u);
  query->unshared_tokens = read_uint32 (u);
  query->fetch_us_per_k = read_uint32 (u);
  query->overload.objective_ms = read_ms (u);
  query->overload.time_left_ms = read_ms (u);
  query->overload.priority = read_priority (u);
  query->overload.lowest_priority = read_priority (u);
  query->is_retry = bd_unpack_uint (u) != 0;
  count = bd_unpack_array (u);
  if (count > BD_COORDINATION_EXCLUDED_MAX)
    refuse (u);
  for (uint32_t i = 0; i < count && u->error == BD_OK; i++)
    query->excluded[query->excluded_count++] = read_uint32 (u);
  if (value_count < QUERY_VALUES)
    return;
  query->software = bd_unpack_uint (u);
  query->continues = bd_unpack_uint (u) != 0;
  query->stream = bd_unpack_uint (u);
  query->own_part = bd_unpack_uint (u);
  query->waited_ms = read_ms (u);
}

static void
read_reply (struct bd_unpack *u, uint32_t count,
            struct bd_coordination_reply *reply)
{
  uint64_t verdict;

  reply->request_number = read_uint32 (u);
  verdict = bd_unpack_uint (u);
  if (verdict > BD_COORDINATION_ORIGIN_UNKNOWN)
    refuse (u);
  reply->verdict = (enum bd_coordination_verdict)verdict;
  reply->target = read_uint32 (u);
  reply->source = read_uint32 (u);
  reply->selection_reason = read_uint32 (u);
  reply->prefill_tokens = read_uint32 (u);
  reply->ahead_tokens = bd_unpack_uint (u);
  reply->wait_ms = read_ms (u);
  reply->cost_ms = read_ms (u);
  reply->max_wait_ms = read_ms (u);
  reply->retry_after_ms = read_ms (u);
  if (count >= REPLY_VALUES_LIMIT)
    reply->limit_rate = read_uint32 (u);
  if (count < REPLY_VALUES)
    return;
  reply->software = bd_unpack_uint (u);
  reply->unconfirmed = bd_unpack_uint (u) != 0;
}

static void
read_notice (struct bd_unpack *u, struct bd_coordination_notice *notice)
{
  notice->request_number = read_uint32 (u);
  notice->target = read_uint32 (u);
  notice->prefix_hash = bd_unpack_uint (u);
  notice->prefill_tokens = read_uint32 (u);
  notice->is_short = bd_unpack_uint (u) != 0;
  notice->prefill_done = bd_unpack_uint (u) != 0;
  notice->priority = read_priority (u);
  notice->time_left_ms = read_ms (u);
}

static void
read_report (struct bd_unpack *u, struct bd_coordination_report *report)
{
  uint64_t result;

  report->request_number = read_uint32 (u);
  report->attempt_ended = bd_unpack_uint (u) != 0;
  report->outcome.has_result = bd_unpack_uint (u) != 0;
  result = bd_unpack_uint (u);
  if (result > BD_OUTLIER_UNREACHABLE)
    refuse (u);
  report->outcome.result = (enum bd_outlier_result)result;
  report->outcome.pause_ms = read_ms (u);
}

static void
read_prefix (struct bd_unpack *u, struct bd_prefix_entry *prefix)
{
  prefix->prefix_hash = bd_unpack_uint (u);
  prefix->target_hash = bd_unpack_uint (u);
  prefix->sent_ms = read_ms (u);
  prefix->cached = bd_unpack_uint (u) != 0;
  if (prefix->prefix_hash == 0)
    refuse (u);
}

bool
bd_coordination_is_message (struct bd_chunk bytes)
{
  struct bd_unpack u = { .rest = bytes };

  bd_unpack_array (&u);
  return bd_unpack_uint (&u) >= BD_COORDINATION_FORMAT && u.error == BD_OK;
}

int
bd_coordination_read (struct bd_chunk bytes,
                      struct bd_coordination_message *message)
{
  struct bd_unpack u = { .rest = bytes };
  uint32_t count = bd_unpack_array (&u);
  uint64_t kind = bd_unpack_uint (&u);

  memset (message, 0, sizeof *message);
  if (u.error != BD_OK || count == 0 || kind < BD_COORDINATION_FORMAT
      || kind >= BD_COORDINATION_FORMAT + BD_COORDINATION_KIND_COUNT)
    return BD_ERR_PROTOCOL;
  message->kind = (enum bd_coordination_kind) (kind - BD_COORDINATION_FORMAT);
  count--;
  switch (message->kind)
    {
    case BD_COORDINATION_QUERY:
      read_query (&u, count, &message->query);
      break;
    case BD_COORDINATION_REPLY:
      read_reply (&u, count, &message->reply);
      break;
    case BD_COORDINATION_NOTICES:
      if (count > BD_COORDINATION_NOTICES_MAX * NOTICE_VALUES)
        return BD_ERR_PROTOCOL;
      for (uint32_t i = 0; i < count / NOTICE_VALUES && u.error == BD_OK; i++)
        read_notice (&u, &message->notices.items[message->notices.count++]);
      break;
    case BD_COORDINATION_REPORTS:
      if (count > BD_COORDINATION_REPORTS_MAX * REPORT_VALUES)
        return BD_ERR_PROTOCOL;
      for (uint32_t i = 0; i < count / REPORT_VALUES && u.error == BD_OK; i++)
        read_report (&u, &message->reports.items[message->reports.count++]);
      break;
    case BD_COORDINATION_PREFIXES:
      if (count == 0
          || count > 1 + BD_COORDINATION_PREFIXES_MAX * PREFIX_VALUES)
        return BD_ERR_PROTOCOL;
      message->prefixes.complete = bd_unpack_uint (&u) != 0;
      for (uint32_t i = 0; i < (count - 1) / PREFIX_VALUES && u.error == BD_OK;
           i++)
        read_prefix (&u, &message->prefixes.items[message->prefixes.count++]);
      break;
    case BD_COORDINATION_LIMIT:
      bd_limit_notice_read (&u, &message->limit);
      break;
    case BD_COORDINATION_ORIGINS:
      if (count > BD_COORDINATION_ORIGINS_MAX * BD_ORIGIN_NOTICE_VALUES)
        return BD_ERR_PROTOCOL;
      for (uint32_t i = 0;
           i < count / BD_ORIGIN_NOTICE_VALUES && u.error == BD_OK; i++)
        bd_origin_notice_read (
            &u, &message->origins.items[message->origins.count++]);
      break;
    default:
      return BD_ERR_PROTOCOL;
    }
  return u.error;
}
