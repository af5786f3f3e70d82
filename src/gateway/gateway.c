#include "gateway/gateway.h"

#include "balance/selection.h"
#include "common/clock.h"
#include "common/log.h"
#include "retry/suspect.h"
#include "gateway/peer_configuration.h"
#include "gateway/forward.h"
#include "gateway/loop_watch.h"
#include "gateway/mesh.h"
#include "gateway/signals.h"
#include "http/socket.h"

#include <inttypes.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define TICK_MS 100
/* Shutdown, in milliseconds from the signal.  The load balancer may send
   callers here until STOP_MIN_MS.  Requests that arrive after STOP_ACCEPT_MS
   are refused unless they will end in time. */
#define STOP_MIN_MS 3000
#define STOP_ACCEPT_MS 2800
/* Idle connections are closed at STOP_IDLE_MS, when the load balancer sends no
   new ones.  The process exits once no request is in flight and none has
   arrived for STOP_QUIET_MS, or STOP_MARGIN_MS before it is killed. */
#define STOP_IDLE_MS 2400
#define STOP_QUIET_MS 700
#define STOP_MARGIN_MS 300
/* How long a ready instance counts as joining, so that peers prefer others as
   coordinators; it gets prefix locations meanwhile. */
#define JOINING_MS 3000
#define SUSPECTS_MAX 1024
#define SUSPECTS_KEEP_MS 600000
/* Limit for the incomplete responses, small against the memory of the smallest
   instance. */
#define BUFFERED_RESPONSES_MAX_BYTES ((size_t)32 * 1024 * 1024)

/* Callers' unfinished requests may hold this part of the machine's memory, or
   as much as given here if that is unknown; callers' connections this part of
   its descriptors. */
#define INTAKE_PART_OF_MEMORY 4
#define INTAKE_DEFAULT_BYTES ((size_t)64 * 1024 * 1024)
#define CALLERS_PART_OF_DESCRIPTORS 2

struct bd_gateway
{
  struct bd_gateway_options options;
  const struct bd_gateway_handler *handler;
  void *context;
  uv_loop_t loop;
  uv_timer_t tick;
  struct bd_signals signals;
  struct bd_client *client;
  struct bd_targets *targets;
  struct bd_selector *selector;
  uint64_t connects_counted; /* Connections in the metrics so far. */
  struct bd_retry_quota *retries;
  struct bd_suspects *suspects;
  struct bd_part_breakers *breakers;
  struct bd_stats *stats;
  struct bd_inventory *inventory;
  struct bd_coordinator *coordinator;
  struct bd_coordinator_client *coordinator_client;
  struct bd_stream_origins *origins;
  struct bd_origin_outbox *origin_outbox;
  struct bd_forwarder *forwarder;
  struct bd_server *caller_server;
  struct bd_server *readiness_server;
  struct bd_server *internal_server;
  struct bd_mesh *mesh;
  struct bd_routing *routing;
  struct bd_buffer configuration;
  uint64_t configuration_revision;
  bool runners_known;
  int64_t ready_ms;        /* When the instance became ready; 0: not yet. */
  int64_t stop_started_ms; /* When the shutdown began; 0: not stopping. */
  struct bd_loop_clocks last_tick;
  /* Configuration fetched from peers. */
  struct bd_peer_configuration *peer_configuration;
};

static bool
is_ready (const struct bd_gateway *gateway)
{
  return gateway->routing && gateway->runners_known
         && gateway->stop_started_ms == 0;
}

/* Readiness. */

static void
on_readiness (void *context, struct bd_exchange *exchange)
{
  struct bd_gateway *gateway = context;
  struct bd_chunk path = bd_exchange_head (exchange)->target;
  struct bd_chunk none = { "", 0 };

  if (!bd_chunk_equal (path, gateway->options.readiness_path))
    bd_exchange_reply (exchange, 404, none, none);
  else
    bd_exchange_reply (exchange, is_ready (gateway) ? 200 : 503, none, none);
}

static void
ignore_abort (void *context, struct bd_exchange *exchange)
{
  (void)context;
  (void)exchange;
}

static const struct bd_server_handler readiness_handler
    = { .on_request = on_readiness, .on_abort = ignore_abort };

/* Metrics and configuration. */

static void
send_metrics (struct bd_gateway *gateway, struct bd_exchange *exchange)
{
  struct bd_buffer fields = { 0 };
  struct bd_buffer text = { 0 };
  size_t count;
  size_t usable = 0;
  size_t ejected = 0;
  size_t limited = 0;
  int64_t now_ms = bd_clock_boot_ms ();
  struct bd_target *const *all = bd_targets_all (gateway->targets, &count);

  for (size_t i = 0; i < count; i++)
    if (bd_target_usable (all[i]))
      {
        usable++;
        ejected += all[i]->health.ejected_until_ms > now_ms;
        limited += bd_runner_limit_rate (all[i], now_ms) != 0;
      }
  bd_stats_set (gateway->stats, BD_GAUGE_RUNNERS, (int64_t)usable);
  bd_stats_set (gateway->stats, BD_GAUGE_AVOIDED, (int64_t)ejected);
  bd_stats_set (gateway->stats, BD_GAUGE_LIMITED, (int64_t)limited);
  bd_stats_count (gateway->stats, BD_STAT_CONNECTS,
                  bd_client_connects (gateway->client)
                      - gateway->connects_counted);
  gateway->connects_counted = bd_client_connects (gateway->client);
  bd_stats_set (gateway->stats, BD_GAUGE_DISTRUSTED,
                (int64_t)bd_targets_distrusted_count (gateway->targets));
  bd_stats_set (gateway->stats, BD_GAUGE_ACTIVE,
                (int64_t)bd_server_active (gateway->caller_server));
  bd_stats_set (gateway->stats, BD_GAUGE_CONNECTIONS,
                (int64_t)bd_server_connections (gateway->caller_server));
  bd_stats_write (gateway->stats, &text);
  bd_buffer_printf (&fields, "Content-Type: text/plain; version=0.0.4\r\n");
  bd_exchange_reply_buffers (exchange, 200, &fields, &text);
}

static void
send_configuration (struct bd_gateway *gateway, struct bd_exchange *exchange)
{
  struct bd_buffer fields = { 0 };

  bd_buffer_printf (
      &fields,
      "Basildock-Version: %" PRIu64 "\r\nBasildock-Revision: %" PRIu64 "\r\n",
      bd_routing_version (gateway->routing), gateway->configuration_revision);
  bd_exchange_reply (exchange, 200, bd_buffer_chunk (&fields),
                     bd_buffer_chunk (&gateway->configuration));
  bd_buffer_clear (&fields);
}

static void
on_internal (void *context, struct bd_exchange *exchange)
{
  struct bd_gateway *gateway = context;
  struct bd_chunk path = bd_exchange_head (exchange)->target;

  if (bd_chunk_equal (path, BD_CHUNK ("/metrics")))
    send_metrics (gateway, exchange);
  else if (bd_chunk_equal (path, BD_CHUNK ("/configuration"))
           && gateway->routing)
    send_configuration (gateway, exchange);
  else
    bd_exchange_reply (exchange, 404, BD_CHUNK (""), BD_CHUNK (""));
}

static const struct bd_server_handler internal_handler
    = { .on_request = on_internal, .on_abort = ignore_abort };

/* Peers. */

static void
on_peer_configuration (void *context, struct bd_chunk data, uint64_t revision)
{
  struct bd_gateway *gateway = context;

  gateway->handler->on_peer_configuration (gateway->context, data, revision);
}

static void
on_newer_configuration (void *context, uint32_t ip, uint64_t revision)
{
  struct bd_gateway *gateway = context;

  (void)revision;
  bd_peer_configuration_announced (gateway->peer_configuration, ip,
                                   bd_clock_boot_ms ());
}

static void
on_instance_count (void *context, uint32_t count)
{
  struct bd_gateway *gateway = context;

  bd_retry_quota_set_instances (gateway->retries, bd_clock_boot_ms (), count);
  bd_forwarder_set_instance_count (gateway->forwarder, count);
}

static void
on_peer_lost (void *context, uint32_t ip, bool silent)
{
  struct bd_gateway *gateway = context;

  bd_coordinator_instance_lost (gateway->coordinator, ip, silent,
                                bd_clock_boot_ms ());
}

static void
on_message (void *context, uint32_t ip,
            const struct bd_coordination_message *message)
{
  struct bd_gateway *gateway = context;

  bd_coordinator_client_handle (gateway->coordinator_client, ip, message);
}

static const struct bd_mesh_handler peers_handler
    = { .on_instance_count = on_instance_count,
        .on_newer_configuration = on_newer_configuration,
        .on_peer_lost = on_peer_lost,
        .on_message = on_message };

/* How far peers can rely on this instance as a coordinator. */
static enum bd_peer_state
peer_state (const struct bd_gateway *gateway, int64_t now_ms)
{
  if (!is_ready (gateway))
    return BD_PEER_UNABLE;
  if (bd_targets_store_is_lost (gateway->targets))
    return BD_PEER_STALE;
  if (gateway->ready_ms == 0 || now_ms - gateway->ready_ms < JOINING_MS)
    return BD_PEER_JOINING;
  return BD_PEER_FRESH;
}

static void
update_peers (struct bd_gateway *gateway, int64_t now_ms)
{
  struct bd_peer_status status
      = { .revision = gateway->configuration_revision,
          .version
          = gateway->routing ? bd_routing_version (gateway->routing) : 0,
          .state = peer_state (gateway, now_ms),
          .cpu_millicores = gateway->options.cpu_millicores };

  bd_mesh_set_status (gateway->mesh, &status);
  bd_mesh_tick (gateway->mesh, now_ms);
}

/* Timer and signals. */

/* Handles that the loop stood still since the last tick. */
static void
check_delay (struct bd_gateway *gateway)
{
  struct bd_loop_clocks now = bd_loop_clocks_now ();
  struct bd_loop_delay delay
      = bd_loop_delay_between (&gateway->last_tick, &now, TICK_MS);

  gateway->last_tick = now;
  if (delay.late_ms > 0)
    bd_log (BD_EVENT_LOOP_LATE, "late_ms=%lld cpu_ms=%lld",
            (long long)delay.late_ms, (long long)delay.cpu_ms);
  if (delay.suspended_ms == 0)
    return;
  bd_log (BD_EVENT_RESUMED, "suspended_ms=%lld",
          (long long)delay.suspended_ms);
  bd_client_drop_idle (gateway->client);
  gateway->handler->on_resume (gateway->context);
}

static void
check_stop (struct bd_gateway *gateway, int64_t now_ms)
{
  int64_t elapsed = now_ms - gateway->stop_started_ms;
  bool quiet = bd_server_active (gateway->caller_server) == 0
               && bd_sockets_sending () == 0
               && now_ms - bd_forwarder_last_request_ms (gateway->forwarder)
                      >= STOP_QUIET_MS;

  if (elapsed >= STOP_IDLE_MS)
    bd_server_close_idle (gateway->caller_server);
  if ((elapsed >= STOP_MIN_MS && quiet)
      || elapsed >= gateway->options.grace_ms - STOP_MARGIN_MS)
    uv_stop (&gateway->loop);
}

static void
on_tick (uv_timer_t *timer)
{
  struct bd_gateway *gateway = timer->data;
  int64_t now = bd_clock_boot_ms ();

  check_delay (gateway);
  bd_peer_configuration_tick (gateway->peer_configuration, now);
  bd_targets_tick (gateway->targets, now);
  bd_suspects_tick (gateway->suspects, now);
  bd_part_breakers_tick (gateway->breakers, now);
  bd_forwarder_tick (gateway->forwarder, now);
  update_peers (gateway, now);
  bd_coordinator_tick (gateway->coordinator, now);
  bd_inventory_tick (gateway->inventory, now);
  gateway->handler->on_tick (gateway->context, now);
  if (gateway->ready_ms == 0 && is_ready (gateway))
    {
      gateway->ready_ms = now;
      bd_log (BD_EVENT_DAEMON_READY, "version=%" PRIu64,
              bd_routing_version (gateway->routing));
    }
  if (gateway->stop_started_ms != 0)
    check_stop (gateway, now);
  bd_log_flush ();
}

static void
on_signal (uv_signal_t *signal, int number)
{
  struct bd_gateway *gateway = signal->data;

  if (number == SIGHUP)
    {
      gateway->handler->on_reload (gateway->context);
      return;
    }
  if (gateway->stop_started_ms != 0)
    return;
  gateway->stop_started_ms = bd_clock_boot_ms ();
  bd_log (BD_EVENT_DAEMON_LEAVING, "signal=%d active=%zu", number,
          bd_server_active (gateway->caller_server));
  bd_server_drain (gateway->caller_server);
  bd_forwarder_stop (
      gateway->forwarder, gateway->stop_started_ms + STOP_ACCEPT_MS,
      gateway->stop_started_ms + gateway->options.grace_ms - STOP_MARGIN_MS);
}

static int
open_listeners (struct bd_gateway *gateway)
{
  const struct bd_gateway_options *options = &gateway->options;
  int error = bd_server_create (&gateway->loop, &options->caller_address,
                                &bd_forwarder_handler, gateway->forwarder,
                                &gateway->caller_server);

  if (error == BD_OK)
    bd_server_set_intake (
        gateway->caller_server,
        options->machine.memory_bytes > 0
            ? options->machine.memory_bytes / INTAKE_PART_OF_MEMORY
            : INTAKE_DEFAULT_BYTES,
        options->machine.descriptors_max / CALLERS_PART_OF_DESCRIPTORS);
  if (error == BD_OK)
    error = bd_server_create (&gateway->loop, &options->readiness_address,
                              &readiness_handler, gateway,
                              &gateway->readiness_server);
  if (error == BD_OK)
    error = bd_server_create (&gateway->loop, &options->internal_address,
                              &internal_handler, gateway,
                              &gateway->internal_server);
  return error;
}

static int
join_peers (struct bd_gateway *gateway)
{
  struct bd_mesh_options options
      = { .loop = &gateway->loop,
          .ip = gateway->options.internal_address.sin_addr.s_addr,
          .port = ntohs (gateway->options.internal_address.sin_port),
          .seeds = gateway->options.seeds,
          .seed_count = gateway->options.seed_count,
          .targets = gateway->targets,
          .suspects = gateway->suspects,
          .breakers = gateway->breakers,
          .stats = gateway->stats };

  int error
      = bd_mesh_create (&options, &peers_handler, gateway, &gateway->mesh);

  if (error == BD_OK)
    {
      bd_coordinator_client_set_mesh (gateway->coordinator_client,
                                      gateway->mesh);
      bd_origin_outbox_set_mesh (gateway->origin_outbox, gateway->mesh);
      bd_forwarder_set_mesh (gateway->forwarder, gateway->mesh);
    }
  return error;
}

static int
create_coordinator (struct bd_gateway *gateway)
{
  uint32_t ip = gateway->options.internal_address.sin_addr.s_addr;
  struct bd_inventory_options inventory
      = { .client = gateway->client,
          .dialect = gateway->options.dialect,
          .targets = gateway->targets,
          .prefixes = bd_selector_prefixes (gateway->selector),
          .origins = gateway->origins };
  struct bd_coordinator_options coordinator = { .ip = ip,
                                                .selector = gateway->selector,
                                                .targets = gateway->targets,
                                                .stats = gateway->stats,
                                                .origins = gateway->origins };
  struct bd_coordinator_client_options client_options
      = { .loop = &gateway->loop, .ip = ip, .stats = gateway->stats };

  gateway->inventory = bd_inventory_create (&inventory);
  coordinator.inventory = gateway->inventory;
  gateway->coordinator = bd_coordinator_create (&coordinator);
  client_options.coordinator = gateway->coordinator;
  if (gateway->coordinator)
    gateway->coordinator_client
        = bd_coordinator_client_create (&client_options);
  gateway->origin_outbox
      = bd_origin_outbox_create (&gateway->loop, ip, gateway->origins);
  return gateway->coordinator_client && gateway->origin_outbox ? BD_OK
                                                               : BD_ERR_NOMEM;
}

static int
create_modules (struct bd_gateway *gateway)
{
  struct bd_forwarder_options options;

  gateway->client = bd_client_create (&gateway->loop);
  gateway->targets = bd_targets_create ();
  gateway->selector = bd_selector_create (bd_id_random ().low);
  gateway->retries
      = bd_retry_quota_create (&gateway->options.retry, bd_clock_boot_ms ());
  gateway->suspects = bd_suspects_create (SUSPECTS_MAX, SUSPECTS_KEEP_MS);
  gateway->breakers = bd_part_breakers_create (bd_id_random ().low);
  gateway->stats = bd_stats_create ();
  gateway->origins = bd_stream_origins_create ();
  gateway->peer_configuration = bd_peer_configuration_create (
      gateway->client, &gateway->options.internal_address,
      on_peer_configuration, gateway);
  if (!gateway->client || !gateway->targets || !gateway->selector
      || !gateway->retries || !gateway->suspects || !gateway->breakers
      || !gateway->stats || !gateway->origins || !gateway->peer_configuration
      || create_coordinator (gateway) != BD_OK)
    return BD_ERR_NOMEM;
  options = (struct bd_forwarder_options){
    .loop = &gateway->loop,
    .dialect = gateway->options.dialect,
    .client = gateway->client,
    .targets = gateway->targets,
    .selector = gateway->selector,
    .retries = gateway->retries,
    .suspects = gateway->suspects,
    .breakers = gateway->breakers,
    .stats = gateway->stats,
    .coordinator_client = gateway->coordinator_client,
    .origins = gateway->origins,
    .origin_outbox = gateway->origin_outbox,
    .zone = gateway->options.zone,
    .buffered_max_bytes = BUFFERED_RESPONSES_MAX_BYTES
  };
  gateway->forwarder = bd_forwarder_create (&options);
  return gateway->forwarder ? BD_OK : BD_ERR_NOMEM;
}

int
bd_gateway_create (const struct bd_gateway_options *options,
                   const struct bd_gateway_handler *handler, void *context,
                   struct bd_gateway **out)
{
  struct bd_gateway *gateway = calloc (1, sizeof *gateway);
  int error;

  if (!gateway)
    return BD_ERR_NOMEM;
  gateway->options = *options;
  gateway->handler = handler;
  gateway->context = context;
  gateway->last_tick = bd_loop_clocks_now ();
  uv_loop_init (&gateway->loop);
  signal (SIGPIPE, SIG_IGN);
  bd_signals_start (&gateway->signals, &gateway->loop, on_signal, gateway);
  error = create_modules (gateway);
  if (error == BD_OK)
    error = open_listeners (gateway);
  if (error == BD_OK)
    error = join_peers (gateway);
  if (error != BD_OK)
    return error; /* The process ends, so nothing is freed. */
  uv_timer_init (&gateway->loop, &gateway->tick);
  gateway->tick.data = gateway;
  uv_timer_start (&gateway->tick, on_tick, 0, TICK_MS);
  *out = gateway;
  return BD_OK;
}

uv_loop_t *
bd_gateway_loop (struct bd_gateway *gateway)
{
  return &gateway->loop;
}

struct bd_client *
bd_gateway_client (struct bd_gateway *gateway)
{
  return gateway->client;
}

struct bd_targets *
bd_gateway_targets (struct bd_gateway *gateway)
{
  return gateway->targets;
}

struct bd_stats *
bd_gateway_stats (struct bd_gateway *gateway)
{
  return gateway->stats;
}

static void
set_cold_rates (struct bd_gateway *gateway)
{
  const struct bd_service *service;

  for (size_t i = 0; (service = bd_routing_service_at (gateway->routing, i));
       i++)
    if (bd_targets_set_cold_rate (gateway->targets, service->name,
                                  service->cold_rate)
        != BD_OK)
      bd_log (BD_EVENT_PROTOCOL_ERROR, "source=self code=%s",
              bd_error_answer (BD_ERR_NOMEM)->code);
}

int
bd_gateway_set_routing (struct bd_gateway *gateway, struct bd_routing *routing,
                        const struct bd_caller_limits *limits,
                        struct bd_chunk document, uint64_t revision)
{
  uint64_t version = bd_routing_version (routing);

  if (gateway->routing && version <= bd_routing_version (gateway->routing))
    return BD_ERR_STALE;
  gateway->configuration_revision = revision;
  bd_peer_configuration_set_active (gateway->peer_configuration, version);
  bd_routing_unref (gateway->routing);
  gateway->routing = bd_routing_ref (routing);
  set_cold_rates (gateway);
  bd_buffer_reset (&gateway->configuration);
  if (bd_buffer_append (&gateway->configuration, document) != BD_OK)
    bd_buffer_clear (&gateway->configuration);
  bd_forwarder_set_routing (gateway->forwarder, routing);
  bd_server_set_limits (gateway->caller_server, limits);
  bd_stats_set (gateway->stats, BD_GAUGE_ROUTING_VERSION, (int64_t)version);
  bd_log (BD_EVENT_CONFIG_IN_FORCE, "version=%" PRIu64 " revision=%" PRIu64,
          version, revision);
  return BD_OK;
}

void
bd_gateway_set_runners_known (struct bd_gateway *gateway)
{
  gateway->runners_known = true;
}

void
bd_gateway_set_retry_limits (struct bd_gateway *gateway,
                             const struct bd_retry_limits *limits)
{
  bd_retry_quota_set_limits (gateway->retries, limits);
}

void
bd_gateway_run (struct bd_gateway *gateway)
{
  uv_run (&gateway->loop, UV_RUN_DEFAULT);
  bd_mesh_leave (gateway->mesh);
  bd_log (BD_EVENT_DAEMON_STOP, "active=%zu",
          bd_server_active (gateway->caller_server));
  bd_log_flush ();
}
