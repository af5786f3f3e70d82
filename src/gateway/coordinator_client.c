#include "gateway/coordinator_client.h"

#include "common/clock.h"
#include "common/log.h"
#include "gateway/outbox.h"
#include "gateway/rank.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

/* Consecutive timeouts after which an instance is skipped; how long it is
   skipped at first, doubled each time, and at most. */
#define TIMEOUTS_MAX 2
#define SKIP_FIRST_MS 1000
#define SKIP_MAX_MS 8000
/* Most instances whose timeouts are remembered. */
#define BACKOFFS_MAX 32
/* How long the coordinator chosen for a shard is cached, and the most shards
   in the cache (a shard has 64 runners). */
#define CHOICE_VALID_MS 100
#define CHOICES_MAX 256

struct pending_query
{
  struct pending_query *next;
  struct bd_coordinator_registration *registration;
  bd_coordinator_client_on_reply on_reply;
  void *context;
  uint32_t ip;
  uint32_t request_number;
  int64_t sent_ms;
};

struct backoff
{
  uint32_t ip; /* Network byte order; 0: entry is free. */
  uint32_t timeouts;
  uint32_t skips;
  int64_t skip_until_ms;
};

struct coordinator_choice
{
  uint64_t key;
  int64_t chosen_ms;
  uint32_t ip; /* Network byte order; 0: no coordinator. */
  bool known;  /* IP has been determined at least once. */
};

struct bd_coordinator_client
{
  struct bd_coordinator_client_options options;
  struct bd_mesh *mesh;
  uv_timer_t timeout;
  /* Oldest pending query; the queue is in the order of sending. */
  struct pending_query *oldest_query;
  struct pending_query *newest_query;
  uint32_t last_request_number;
  struct bd_outbox *reports;
  struct backoff backoffs[BACKOFFS_MAX];
  struct coordinator_choice choices[CHOICES_MAX];
  size_t choice_count;
  bd_coordinator_client_on_change on_change;
  void *change_context;
  uint32_t notices_ip;
  /* Notices for NOTICES_IP that are not sent yet. */
  struct bd_coordination_message notices;
};

/* Choice of the coordinator. */

static struct backoff *
find_backoff (struct bd_coordinator_client *client, uint32_t ip)
{
  for (size_t i = 0; i < BACKOFFS_MAX; i++)
    if (client->backoffs[i].ip == ip)
      return &client->backoffs[i];
  return NULL;
}

static bool
is_skipped (struct bd_coordinator_client *client, uint32_t ip, int64_t now_ms)
{
  const struct backoff *backoff = find_backoff (client, ip);

  return backoff && now_ms < backoff->skip_until_ms;
}

static void
record_timeout (struct bd_coordinator_client *client, uint32_t ip,
                int64_t now_ms)
{
  struct backoff *backoff = find_backoff (client, ip);
  int64_t skip_ms = SKIP_FIRST_MS;

  bd_stats_count (client->options.stats, BD_STAT_ASKS_UNANSWERED, 1);
  if (!backoff)
    backoff = find_backoff (client, 0);
  if (!backoff)
    return;
  backoff->ip = ip;
  if (now_ms < backoff->skip_until_ms || ++backoff->timeouts < TIMEOUTS_MAX)
    return;
  for (uint32_t i = 0; i < backoff->skips && skip_ms < SKIP_MAX_MS; i++)
    skip_ms *= 2;
  backoff->timeouts = 0;
  backoff->skips++;
  backoff->skip_until_ms = now_ms + skip_ms;
  for (size_t i = 0; i < CHOICES_MAX; i++)
    client->choices[i].chosen_ms = 0;
  bd_log (BD_EVENT_COORDINATOR, "ip=%08x state=silent for_ms=%lld", ntohl (ip),
          (long long)skip_ms);
}

static void
reset_backoff (struct bd_coordinator_client *client, uint32_t ip)
{
  struct backoff *backoff = find_backoff (client, ip);

  if (backoff)
    memset (backoff, 0, sizeof *backoff);
}

/* Returns the highest ranked instance that is not skipped; 0: none. */
static uint32_t
choose_coordinator (struct bd_coordinator_client *client, uint64_t key,
                    int64_t now_ms)
{
  uint32_t ips[BD_RANK_MAX];
  size_t count
      = bd_mesh_rank (client->mesh, key, now_ms, false, ips, BD_RANK_MAX);

  for (size_t i = 0; i < count; i++)
    if (!is_skipped (client, ips[i], now_ms))
      return ips[i];
  return 0;
}

/* Returns the entry for KEY; a new one replaces the oldest when all are in
   use. */
static struct coordinator_choice *
find_or_add_choice (struct bd_coordinator_client *client, uint64_t key)
{
  struct coordinator_choice *oldest = &client->choices[0];

  for (size_t i = 0; i < client->choice_count; i++)
    {
      if (client->choices[i].key == key)
        return &client->choices[i];
      if (client->choices[i].chosen_ms < oldest->chosen_ms)
        oldest = &client->choices[i];
    }
  if (client->choice_count < CHOICES_MAX)
    oldest = &client->choices[client->choice_count++];
  *oldest = (struct coordinator_choice){ .key = key };
  return oldest;
}

static uint32_t
coordinator_of (struct bd_coordinator_client *client, uint64_t key,
                int64_t now_ms)
{
  struct coordinator_choice *choice = find_or_add_choice (client, key);
  uint32_t ip;
  bool changed;

  if (choice->chosen_ms != 0 && now_ms - choice->chosen_ms < CHOICE_VALID_MS)
    return choice->ip;
  ip = choose_coordinator (client, key, now_ms);
  changed = !choice->known || choice->ip != ip;
  *choice = (struct coordinator_choice){ key, now_ms, ip, true };
  if (!changed)
    return ip;
  bd_log (BD_EVENT_COORDINATOR, "ip=%08x state=asked key=%016llx", ntohl (ip),
          (unsigned long long)key);
  if (ip != 0 && client->on_change)
    client->on_change (client->change_context, key, ip);
  return ip;
}

/* Queries. */

static struct pending_query *
remove_query (struct bd_coordinator_client *client, uint32_t number)
{
  struct pending_query *previous = NULL;
  struct pending_query *query = client->oldest_query;

  while (query && query->request_number != number)
    {
      previous = query;
      query = query->next;
    }
  if (!query)
    return NULL;
  if (previous)
    previous->next = query->next;
  else
    client->oldest_query = query->next;
  if (client->newest_query == query)
    client->newest_query = previous;
  return query;
}

static void
complete_query (struct pending_query *query,
                const struct bd_coordination_reply *reply)
{
  bd_coordinator_client_on_reply on_reply = query->on_reply;
  void *context = query->context;

  query->registration->reply_pending = false;
  free (query);
  on_reply (context, reply);
}

static void
on_timeout (uv_timer_t *timer)
{
  struct bd_coordinator_client *client = timer->data;
  int64_t now = bd_clock_boot_ms ();

  while (client->oldest_query
         && now - client->oldest_query->sent_ms >= BD_QUERY_TIMEOUT_MS)
    {
      struct pending_query *query
          = remove_query (client, client->oldest_query->request_number);

      record_timeout (client, query->ip, now);
      complete_query (query, NULL);
    }
  if (client->oldest_query)
    uv_timer_start (
        timer, on_timeout,
        (uint64_t)(client->oldest_query->sent_ms + BD_QUERY_TIMEOUT_MS - now),
        0);
}

static bool
enqueue_query (struct bd_coordinator_client *client,
               struct bd_coordinator_registration *registration,
               bd_coordinator_client_on_reply on_reply, void *context)
{
  struct pending_query *query = calloc (1, sizeof *query);

  if (!query)
    return false;
  *query = (struct pending_query){ NULL,
                                   registration,
                                   on_reply,
                                   context,
                                   registration->coordinator_ip,
                                   registration->request_number,
                                   bd_clock_boot_ms () };
  registration->reply_pending = true;
  if (client->newest_query)
    client->newest_query->next = query;
  else
    {
      client->oldest_query = query;
      uv_timer_start (&client->timeout, on_timeout, BD_QUERY_TIMEOUT_MS, 0);
    }
  client->newest_query = query;
  return true;
}

enum bd_coordinator_client_result
bd_coordinator_client_query (struct bd_coordinator_client *client,
                             struct bd_coordination_query *query,
                             struct bd_coordinator_registration *registration,
                             struct bd_coordination_reply *reply,
                             bd_coordinator_client_on_reply on_reply,
                             void *context)
{
  int64_t now = bd_clock_boot_ms ();
  uint64_t key = bd_coordinator_shard_key (query->service, query->shard);
  struct bd_coordination_message message = { .kind = BD_COORDINATION_QUERY };

  *registration = (struct bd_coordinator_registration){ 0 };
  if (!client->mesh)
    return BD_COORDINATOR_CLIENT_UNAVAILABLE;
  registration->request_number = ++client->last_request_number;
  registration->shard_key = key;
  query->request_number = registration->request_number;
  registration->coordinator_ip = coordinator_of (client, key, now);
  if (registration->coordinator_ip == 0)
    return BD_COORDINATOR_CLIENT_UNAVAILABLE;
  if (registration->coordinator_ip == client->options.ip)
    {
      *reply
          = bd_coordinator_decide (client->options.coordinator,
                                   registration->coordinator_ip, query, now);
      return BD_COORDINATOR_CLIENT_DECIDED;
    }
  if (!enqueue_query (client, registration, on_reply, context))
    return BD_COORDINATOR_CLIENT_UNAVAILABLE;
  bd_stats_count (client->options.stats, BD_STAT_ASKED, 1);
  message.query = *query;
  bd_mesh_send (client->mesh, registration->coordinator_ip, &message);
  return BD_COORDINATOR_CLIENT_PENDING;
}

struct bd_found_origin
bd_coordinator_client_find_origin (struct bd_coordinator_client *client,
                                   const struct bd_coordination_query *query)
{
  return bd_coordinator_find_origin (client->options.coordinator, query,
                                     bd_clock_boot_ms ());
}

/* Reports. */

static void
queue_report (struct bd_coordinator_client *client, uint32_t ip,
              const struct bd_coordination_report *report)
{
  if (ip == 0 || !client->mesh)
    return;
  if (ip == client->options.ip)
    {
      bd_coordinator_handle_report (client->options.coordinator, ip, report,
                                    bd_clock_boot_ms ());
      return;
    }
  bd_outbox_add_report (client->reports, ip, report);
}

void
bd_coordinator_client_prefill_done (
    struct bd_coordinator_client *client,
    const struct bd_coordinator_registration *registration)
{
  struct bd_coordination_report report
      = { .request_number = registration->request_number };

  queue_report (client, registration->coordinator_ip, &report);
}

void
bd_coordinator_client_attempt_ended (
    struct bd_coordinator_client *client,
    struct bd_coordinator_registration *registration,
    const struct bd_attempt_outcome *outcome)
{
  struct bd_coordination_report report
      = { .request_number = registration->request_number,
          .attempt_ended = true };

  if (outcome)
    report.outcome = *outcome;
  queue_report (client, registration->coordinator_ip, &report);
  registration->coordinator_ip = 0;
}

void
bd_coordinator_client_cancel (struct bd_coordinator_client *client,
                              struct bd_coordinator_registration *registration)
{
  struct pending_query *query;

  if (!registration->reply_pending)
    return;
  query = remove_query (client, registration->request_number);
  registration->reply_pending = false;
  free (query);
  bd_coordinator_client_attempt_ended (client, registration, NULL);
}

/* Sends the collected notices. */
static void
send_notices (struct bd_coordinator_client *client)
{
  if (client->notices.notices.count > 0)
    bd_mesh_send (client->mesh, client->notices_ip, &client->notices);
  client->notices.notices.count = 0;
}

static void
register_placed (struct bd_coordinator_client *client, uint32_t ip,
                 const struct bd_coordination_notice *notice)
{
  struct bd_coordination_message *message = &client->notices;

  if (ip == client->options.ip)
    {
      bd_coordinator_add_placed (client->options.coordinator, ip, notice,
                                 bd_clock_boot_ms ());
      return;
    }
  if (client->notices_ip != ip
      || message->notices.count == BD_COORDINATION_NOTICES_MAX)
    send_notices (client);
  client->notices_ip = ip;
  message->kind = BD_COORDINATION_NOTICES;
  message->notices.items[message->notices.count++] = *notice;
}

void
bd_coordinator_client_notify (struct bd_coordinator_client *client,
                              struct bd_coordinator_registration *registration,
                              struct bd_coordination_notice *notice)
{
  if (registration->coordinator_ip == 0)
    return;
  notice->request_number = registration->request_number;
  register_placed (client, registration->coordinator_ip, notice);
  send_notices (client);
}

void
bd_coordinator_client_reregister (
    struct bd_coordinator_client *client,
    struct bd_coordinator_registration *registration, uint32_t ip,
    struct bd_coordination_notice *notice)
{
  bd_coordinator_client_attempt_ended (client, registration, NULL);
  registration->coordinator_ip = ip;
  notice->request_number = registration->request_number;
  register_placed (client, ip, notice);
}

void
bd_coordinator_client_tell_limit (struct bd_coordinator_client *client,
                                  uint32_t ip, const struct bd_target *target)
{
  struct bd_coordination_message message
      = { .kind = BD_COORDINATION_LIMIT,
          .limit = bd_limit_notice_of (target, bd_clock_boot_ms ()) };

  if (client->mesh && ip != 0 && ip != client->options.ip)
    bd_mesh_send (client->mesh, ip, &message);
}

void
bd_coordinator_client_flush (struct bd_coordinator_client *client)
{
  send_notices (client);
}

void
bd_coordinator_client_watch (struct bd_coordinator_client *client,
                             bd_coordinator_client_on_change on_change,
                             void *context)
{
  client->on_change = on_change;
  client->change_context = context;
}

static void
handle_reply (struct bd_coordinator_client *client, uint32_t ip,
              const struct bd_coordination_reply *reply)
{
  struct pending_query *query = remove_query (client, reply->request_number);

  reset_backoff (client, ip);
  /* A reply that comes after the timeout needs no correction here: the
     instance placed the request itself and has reported that. */
  if (query)
    complete_query (query, reply);
}

void
bd_coordinator_client_handle (struct bd_coordinator_client *client,
                              uint32_t ip,
                              const struct bd_coordination_message *message)
{
  if (message->kind == BD_COORDINATION_REPLY)
    handle_reply (client, ip, &message->reply);
  else
    bd_coordinator_handle (client->options.coordinator, ip, message,
                           bd_clock_boot_ms ());
}

void
bd_coordinator_client_set_mesh (struct bd_coordinator_client *client,
                                struct bd_mesh *mesh)
{
  client->mesh = mesh;
  bd_outbox_set_mesh (client->reports, mesh);
  bd_coordinator_set_mesh (client->options.coordinator, mesh);
}

struct bd_coordinator_client *
bd_coordinator_client_create (
    const struct bd_coordinator_client_options *options)
{
  struct bd_coordinator_client *client = calloc (1, sizeof *client);

  if (!client)
    return NULL;
  client->options = *options;
  client->reports = bd_outbox_create (options->loop, BD_COORDINATION_REPORTS);
  if (!client->reports)
    {
      free (client);
      return NULL;
    }
  uv_timer_init (options->loop, &client->timeout);
  client->timeout.data = client;
  return client;
}
