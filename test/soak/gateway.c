/* Gateway processes: start, signals, restart and readiness checks. */
#include "soak.h"

#include <fcntl.h>
#include <signal.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#define CALLERS_PORT 8101
#define READINESS_PORT 8102
#define INTERNAL_PORT 8103
#define GRACE_S 6
#define STORE_SILENCE_MS 3000
#define GRACE_SLACK_MS 1500
#define RESTART_MS 300
/* Interval of the load balancer's readiness checks, and failed checks in a row
   after which a gateway gets no new connections. */
#define POLL_MS 500
#define MISSED_POLLS_MAX 2

struct soak_gateway
{
  struct soak *soak;
  int number;
  uv_process_t *process; /* NULL: not running. */
  uv_timer_t timer;
  uv_timer_t poll;
  struct bd_call *readiness_call; /* NULL: no check in flight. */
  bool answered_once;             /* It answered a check since its start. */
  int missed_polls;               /* Failed checks in a row; not ready at
                                     MISSED_POLLS_MAX. */
  char settings[320];
  int64_t last_change_ms; /* Time of the last start, exit or signal. */
  int64_t stopping_ms;    /* Time of the first SIGTERM; 0: none. */
  off_t log_bytes;        /* Size of its log when the process was started. */
  bool reloaded;          /* SIGHUP was sent to this process. */
  bool killed;
  bool paused;
  bool ending;
};

static void start (struct soak_gateway *gateway);

static void
write_settings (struct soak_gateway *gateway)
{
  struct soak *soak = gateway->soak;
  FILE *file = fopen (gateway->settings, "w");
  char own[SOAK_ADDRESS_BYTES];
  char seeds[2][SOAK_ADDRESS_BYTES];
  char store[SOAK_ADDRESS_BYTES];

  if (!file)
    g_error ("cannot write %s", gateway->settings);
  soak_format_ip (soak, gateway->number, own);
  soak_format_ip (soak, 1, seeds[0]);
  soak_format_ip (soak, 2, seeds[1]);
  soak_format_ip (soak, SOAK_STORE_HOST, store);
  fprintf (file,
           "{\"instance\":\"gateway-%d\",\"zone\":\"z%d\",\"ip\":\"%s\","
           "\"callers\":\"%s:%d\",\"readiness\":\"%s:%d\","
           "\"internal_port\":%d,\"seeds\":[\"%s:1\",\"%s:1\"],"
           "\"store\":\"%s:%d\",\"store_silence_ms\":%d,"
           "\"cpu_share\":0.2,\"cores\":1,"
           "\"grace_s\":%d,\"retry_ratio\":%g,\"retry_slack\":%d,"
           "\"retry_window_s\":%d}\n",
           gateway->number, gateway->number % 3, own, own, CALLERS_PORT, own,
           READINESS_PORT, INTERNAL_PORT, seeds[0], seeds[1], store,
           SOAK_STORE_PORT, STORE_SILENCE_MS, GRACE_S, SOAK_RETRY_RATIO,
           SOAK_RETRY_SLACK, SOAK_RETRY_WINDOW_S);
  fclose (file);
}

static void
format_log_path (const struct soak_gateway *gateway, char *path, size_t size)
{
  snprintf (path, size, "%s/gateway-%d.log", gateway->soak->folder,
            gateway->number);
}

static void
on_process_closed (uv_handle_t *handle)
{
  g_free (handle);
}

static void
on_restart (uv_timer_t *timer)
{
  struct soak_gateway *gateway = timer->data;

  if (!gateway->process && !gateway->ending)
    start (gateway);
}

static off_t
log_bytes (const struct soak_gateway *gateway)
{
  char path[320];
  struct stat status;

  format_log_path (gateway, path, sizeof path);
  return stat (path, &status) == 0 ? status.st_size : 0;
}

/* Whether SIGHUP ended the process before its main (): it has written nothing.
   Later the program has blocked the signal, or handles it. */
static bool
ended_before_main (const struct soak_gateway *gateway, int number)
{
  return number == SIGHUP && gateway->reloaded
         && log_bytes (gateway) == gateway->log_bytes;
}

/* A SIGTERM in the first milliseconds, before the program has installed its
   handlers, takes its default action.  That is accepted, since the gateway
   has served no request yet. */
static bool
is_clean_exit (const struct soak_gateway *gateway, int64_t status, int number)
{
  return status == 0
         && (number == 0 || (number == SIGTERM && !gateway->answered_once));
}

static void
on_process_exit (uv_process_t *process, int64_t status, int number)
{
  struct soak_gateway *gateway = process->data;
  int64_t now = soak_now_ms (gateway->soak);

  if (!gateway->killed && gateway->stopping_ms == 0
      && !ended_before_main (gateway, number))
    soak_violation (gateway->soak, "EXIT",
                    "gateway %d exited by itself: status %lld, signal %d",
                    gateway->number, (long long)status, number);
  if (!gateway->killed && gateway->stopping_ms != 0
      && !is_clean_exit (gateway, status, number))
    soak_violation (gateway->soak, "EXIT",
                    "gateway %d stopped with status %lld, signal %d",
                    gateway->number, (long long)status, number);
  soak_log (gateway->soak, "gateway %d exited", gateway->number);
  gateway->process = NULL;
  gateway->paused = false;
  gateway->missed_polls = MISSED_POLLS_MAX;
  gateway->last_change_ms = now;
  uv_close ((uv_handle_t *)process, on_process_closed);
  uv_timer_start (&gateway->timer, on_restart, RESTART_MS, 0);
}

static void
start (struct soak_gateway *gateway)
{
  char log[320];
  char *args[]
      = { gateway->soak->program, "--settings", gateway->settings, NULL };
  uv_stdio_container_t stdio[3] = { { .flags = UV_IGNORE } };
  uv_process_options_t options = { .exit_cb = on_process_exit,
                                   .file = gateway->soak->program,
                                   .args = args,
                                   .stdio_count = 3,
                                   .stdio = stdio };
  int fd;

  format_log_path (gateway, log, sizeof log);
  gateway->log_bytes = log_bytes (gateway);
  gateway->reloaded = false;
  fd = open (log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  for (int i = 1; i < 3; i++)
    {
      stdio[i].flags = UV_INHERIT_FD;
      stdio[i].data.fd = fd;
    }
  gateway->process = g_new0 (uv_process_t, 1);
  gateway->process->data = gateway;
  gateway->killed = false;
  gateway->answered_once = false;
  gateway->stopping_ms = 0;
  gateway->last_change_ms = soak_now_ms (gateway->soak);
  if (uv_spawn (&gateway->soak->loop, gateway->process, &options) != 0)
    g_error ("cannot start %s", gateway->soak->program);
  close (fd);
}

void
soak_gateway_signal (struct soak_gateway *gateway, int number)
{
  if (!gateway->process)
    return;
  soak_log (gateway->soak, "signal %d to gateway %d", number, gateway->number);
  if (number != SIGHUP)
    gateway->last_change_ms = soak_now_ms (gateway->soak);
  if (number == SIGKILL)
    gateway->killed = true;
  if (number == SIGTERM && gateway->stopping_ms == 0)
    gateway->stopping_ms = gateway->last_change_ms;
  if (number == SIGHUP)
    {
      gateway->reloaded = true;
      write_settings (gateway);
    }
  gateway->paused
      = number == SIGSTOP || (gateway->paused && number != SIGCONT);
  uv_process_kill (gateway->process, number);
}

int
soak_gateway_number (const struct soak_gateway *gateway)
{
  return gateway->number;
}

bool
soak_gateway_paused (const struct soak_gateway *gateway)
{
  return gateway->paused;
}

bool
soak_gateway_stopping (const struct soak_gateway *gateway)
{
  return gateway->stopping_ms != 0;
}

bool
soak_gateway_running (const struct soak_gateway *gateway)
{
  return gateway->process != NULL;
}

bool
soak_gateway_ready (const struct soak_gateway *gateway)
{
  return gateway->missed_polls < MISSED_POLLS_MAX;
}

int64_t
soak_gateway_stable_ms (const struct soak_gateway *gateway)
{
  if (!gateway->process || gateway->paused || gateway->stopping_ms != 0)
    return 0;
  return soak_now_ms (gateway->soak) - gateway->last_change_ms;
}

int64_t
soak_stable_gateway_ms (const struct soak *soak, int number)
{
  for (size_t i = 0; i < soak->gateway_count; i++)
    if (soak_gateway_number (soak->gateways[i]) == number)
      return soak_gateway_stable_ms (soak->gateways[i]);
  return 0;
}

void
soak_gateway_check (struct soak_gateway *gateway)
{
  int64_t stopping = gateway->stopping_ms;

  if (!gateway->process || stopping == 0 || gateway->paused || gateway->killed)
    return;
  if (soak_now_ms (gateway->soak) - gateway->last_change_ms
      < GRACE_S * 1000 + GRACE_SLACK_MS)
    return;
  soak_violation (gateway->soak, "EXIT", "gateway %d did not stop in time",
                  gateway->number);
  soak_gateway_signal (gateway, SIGKILL);
}

struct sockaddr_in
soak_gateway_callers (const struct soak_gateway *gateway)
{
  return soak_address (gateway->soak, gateway->number, CALLERS_PORT);
}

/* Readiness. */

static void
count_missed_poll (struct soak_gateway *gateway)
{
  if (gateway->missed_polls < MISSED_POLLS_MAX)
    gateway->missed_polls++;
}

static void
on_ready_head (void *context, const struct bd_head *head)
{
  struct soak_gateway *gateway = context;

  gateway->answered_once = true;
  if (head->status == 200)
    gateway->missed_polls = 0;
  else
    count_missed_poll (gateway);
}

static void
on_ready_body (void *context, struct bd_chunk data)
{
  (void)context;
  (void)data;
}

static void
on_ready_end (void *context)
{
  struct soak_gateway *gateway = context;

  gateway->readiness_call = NULL;
}

static void
on_ready_fail (void *context, const struct bd_call_failure *failure)
{
  struct soak_gateway *gateway = context;

  (void)failure;
  gateway->readiness_call = NULL;
  count_missed_poll (gateway);
}

static const struct bd_call_handler ready_handler
    = { .on_head = on_ready_head,
        .on_body = on_ready_body,
        .on_end = on_ready_end,
        .on_fail = on_ready_fail };

static void
on_poll (uv_timer_t *timer)
{
  struct soak_gateway *gateway = timer->data;
  struct bd_call_request request = {
    .address = soak_address (gateway->soak, gateway->number, READINESS_PORT),
    .head = BD_CHUNK ("GET /v1/readyz HTTP/1.1\r\nHost: r\r\n"
                      "Connection: close\r\n\r\n"),
    .connect_timeout_ms = POLL_MS,
  };

  if (gateway->readiness_call)
    {
      bd_call_cancel (gateway->readiness_call);
      count_missed_poll (gateway);
    }
  gateway->readiness_call = bd_client_call (gateway->soak->client, &request,
                                            &ready_handler, gateway);
}

void
soak_gateway_end (struct soak_gateway *gateway)
{
  gateway->ending = true;
  soak_gateway_signal (gateway, SIGKILL);
}

struct soak_gateway *
soak_gateway_create (struct soak *soak, int number)
{
  struct soak_gateway *gateway = g_new0 (struct soak_gateway, 1);

  gateway->soak = soak;
  gateway->number = number;
  snprintf (gateway->settings, sizeof gateway->settings, "%s/gateway-%d.json",
            soak->folder, number);
  uv_timer_init (&soak->loop, &gateway->timer);
  uv_timer_init (&soak->loop, &gateway->poll);
  gateway->timer.data = gateway;
  gateway->poll.data = gateway;
  gateway->missed_polls = MISSED_POLLS_MAX;
  uv_timer_start (&gateway->poll, on_poll, POLL_MS / 2, POLL_MS);
  write_settings (gateway);
  start (gateway);
  return gateway;
}
