/*
 * Callers with kept channels send their next request without waiting for the
 * answer to the one before, as HTTP/1.1 allows.
 */
#include "../stand-2/stand.h"

#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define RULE_BROKEN 1
#define CANNOT_RUN 2
/* Callers, and the bytes of what each sends next on its channel: the largest
   request of the sheet, far under maxBodyBytes. */
#define CALLERS 8
#define NEXT_BODY_BYTES 100000
#define WORK_MS 400
/* Channels with a request at a sound runner that may be closed without an
   answer. */
#define LOST_MAX 3
#define DEADLINE_MS 1500
#define ROUTES                                                                \
  "\"routes\":[{\"name\":\"stock\",\"host\":\"desk.example\","                \
  "\"prefix\":\"/stock/\",\"type\":\"idempotent\",\"timeoutMs\":800,"         \
  "\"sloMs\":300,\"priority\":2,\"service\":\"order-desk\","                  \
  "\"maxAttempts\":1,\"public\":false,\"sticky\":false,"                      \
  "\"resumable\":false},{\"name\":\"dispatch\",\"host\":\"desk.example\","    \
  "\"prefix\":\"/dispatch/\",\"type\":\"non_idempotent\","                    \
  "\"timeoutMs\":800,\"sloMs\":300,\"priority\":2,"                           \
  "\"service\":\"order-desk\",\"maxAttempts\":1,\"public\":false,"            \
  "\"sticky\":false,\"resumable\":false}],\"services\":[{\"name\":"           \
  "\"order-desk\",\"healthPath\":\"/healthz\",\"maxConns\":110,"              \
  "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"maxHeaderBytes\":16384," \
  "\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"                        \
  "\"idleTimeoutMs\":15000}"
#define KEY "n2ctnfzs989anu6wsjnb"

static struct gateway gateway;

/* A sound runner, which says what it runs. */
static void
handle_runner_connection (int fd)
{
  struct message request;

  while (read_message (fd, &request, 60000))
    {
      char id[64] = "";
      char tenant[64] = "none";

      field_of (&request, "X-Basildock-Attempt-Id", id, sizeof id);
      field_of (&request, "X-Basildock-Tenant", tenant, sizeof tenant);
      free_message (&request);
      record ("i-desk runs %s, tenant: %s", id, tenant);
      sleep_ms (strncmp (id, "first", 5) == 0 ? WORK_MS : 20);
      if (!send_text (fd,
                      "HTTP/1.1 200 OK\r\nX-Basildock-Attempt-Id: %s\r\n"
                      "X-Basildock-Response-Signature: s.%s\r\n"
                      "Content-Length: 4\r\n\r\nsent",
                      id, id))
        return;
    }
}

struct caller
{
  int number;
  bool next_at_once; /* The next request does not wait for the answer. */
  int first_status;  /* 0: the channel ended without an answer. */
  int next_status;
};

static bool
send_lookup (int fd, const char *kind, int number)
{
  return send_text (fd,
                    "GET /stock/2f HTTP/1.1\r\nHost: desk.example\r\n"
                    "X-Basildock-Attempt-Id: %s-%d\r\n"
                    "X-Basildock-Deadline-Ms: %d\r\n"
                    "Authorization: Token " KEY "\r\n\r\n",
                    kind, number, DEADLINE_MS);
}

static bool
send_order (int fd, int number)
{
  static char data[NEXT_BODY_BYTES];

  return send_text (fd,
                    "POST /dispatch/2f HTTP/1.1\r\nHost: desk.example\r\n"
                    "X-Basildock-Attempt-Id: next-%d\r\n"
                    "X-Basildock-Deadline-Ms: %d\r\n"
                    "Authorization: Token " KEY "\r\n"
                    "Content-Length: %zu\r\n\r\n",
                    number, DEADLINE_MS, sizeof data)
         && send_all (fd, data, sizeof data);
}

static int
read_status (int fd)
{
  struct message answer;
  int status;

  if (!read_message (fd, &answer, DEADLINE_MS))
    return 0;
  status = answer.complete ? answer.status : 0;
  free_message (&answer);
  return status;
}

/* Uses a channel for one request, keeps it, and sends two more on it. */
static void *
run_caller (void *context)
{
  struct caller *caller = context;
  int fd = connect_to (gateway.ip, gateway.callers_port);

  send_lookup (fd, "kept", caller->number);
  if (read_status (fd) == 200 && send_lookup (fd, "first", caller->number))
    {
      sleep_ms (50);
      if (caller->next_at_once)
        send_order (fd, caller->number);
      caller->first_status = read_status (fd);
      if (!caller->next_at_once)
        send_order (fd, caller->number);
      caller->next_status = read_status (fd);
    }
  record ("caller %d: first request: %d, next: %d (0: the channel was closed)",
          caller->number, caller->first_status, caller->next_status);
  close (fd);
  return NULL;
}

static bool
start (const char *folder)
{
  const char *ips[] = { "127.0.0.1" };
  int store_port = store_start ("127.0.0.1");
  int port = 0;
  int listener = listen_at ("127.0.0.1", &port);

  if (listener < 0)
    return false;
  store_put ("op/config",
             "{\"version\":7," ROUTES
             ",\"tenants\":[{\"name\":\"hule930\",\"apiKeys\":[\"" KEY
             "\"],\"priority\":1}]}");
  serve (listener, handle_runner_connection);
  store_add_runner ("i-desk", "order-desk", "127.0.0.1", port, "v1");
  snprintf (gateway.name, sizeof gateway.name, "entry-1");
  snprintf (gateway.ip, sizeof gateway.ip, "127.0.0.1");
  gateway_prepare (&gateway, folder, free_port (ips, 1), store_port, "[]");
  return gateway_start (&gateway) && gateway_wait_ready (&gateway, 10000);
}

int
main (int argc, char **argv)
{
  const char *trouble = getenv ("TROUBLE");
  bool at_once = !trouble || strcmp (trouble, "0") != 0;
  struct caller callers[CALLERS];
  pthread_t threads[CALLERS];
  int lost = 0;

  if (argc != 3)
    return CANNOT_RUN;
  record_open (argv[2]);
  if (!start (argv[1]))
    return CANNOT_RUN;
  sleep_ms (3000);
  for (int i = 0; i < CALLERS; i++)
    {
      callers[i] = (struct caller){ .number = i, .next_at_once = at_once };
      if (pthread_create (&threads[i], NULL, run_caller, &callers[i]) != 0)
        return CANNOT_RUN;
    }
  for (int i = 0; i < CALLERS; i++)
    {
      pthread_join (threads[i], NULL);
      lost += callers[i].first_status == 0;
    }
  sleep_ms (WORK_MS);
  record ("channels closed without the answer to a request at the runner: %d; "
          "allowed: %d",
          lost, LOST_MAX);
  gateway_end (&gateway, SIGTERM);
  return lost > LOST_MAX ? RULE_BROKEN : 0;
}
