/*
 * The operator takes away the keys of the last tenant, with a desired state
 * that holds none any more.  Callers that are connected go on with their keys,
 * and a caller tries a key that never was one.
 */
#include "../stand-2/stand.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define RULE_BROKEN 1
#define CANNOT_RUN 2
/* configApplyMs of the small deployments, and the time after it for which the
   script goes on asking. */
#define CONFIG_APPLY_MS 2000
#define ASK_MS 4000
#define ASK_GAP_MS 200
#define DEADLINE_MS 1500
#define ROUTES                                                                \
  "\"routes\":[{\"name\":\"dispatch\",\"host\":\"desk.example\","             \
  "\"prefix\":\"/dispatch/\",\"type\":\"non_idempotent\","                    \
  "\"timeoutMs\":800,\"sloMs\":300,\"priority\":2,"                           \
  "\"service\":\"order-desk\",\"maxAttempts\":1,\"public\":false,"            \
  "\"sticky\":false,\"resumable\":false}],\"services\":[{\"name\":"           \
  "\"order-desk\",\"healthPath\":\"/healthz\",\"maxConns\":110,"              \
  "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"maxHeaderBytes\":16384," \
  "\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"                        \
  "\"idleTimeoutMs\":15000}"
#define KEY "n2ctnfzs989anu6wsjnb"
#define KEY_UNKNOWN "zzzzzzzzzzzzzzzzzzzz"

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
      sleep_ms (60);
      if (!send_text (fd,
                      "HTTP/1.1 200 OK\r\nX-Basildock-Attempt-Id: %s\r\n"
                      "X-Basildock-Response-Signature: s.%s\r\n"
                      "Content-Length: 4\r\n\r\nsent",
                      id, id))
        return;
    }
}

/* Sends a request with KEY on the kept channel FD.  Returns its status. */
static int
ask (int fd, const char *attempt, const char *key)
{
  struct message answer;
  int status;

  if (!send_text (fd,
                  "POST /dispatch/2f HTTP/1.1\r\nHost: desk.example\r\n"
                  "X-Basildock-Attempt-Id: %s\r\n"
                  "X-Basildock-Deadline-Ms: %d\r\n"
                  "Authorization: Token %s\r\n"
                  "Content-Length: 5\r\n\r\ntruck",
                  attempt, DEADLINE_MS, key)
      || !read_message (fd, &answer, DEADLINE_MS))
    return 0;
  status = answer.status;
  record ("caller: %s with key %s: %d", attempt, key, status);
  free_message (&answer);
  return status;
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
  bool revoked = !trouble || strcmp (trouble, "0") != 0;
  int64_t until;
  int fd;
  int run_with_dropped_key = 0;
  int run_with_unknown_key = 0;
  int refused = 0;

  if (argc != 3)
    return CANNOT_RUN;
  record_open (argv[2]);
  if (!start (argv[1]))
    return CANNOT_RUN;
  sleep_ms (3000);
  fd = connect_to (gateway.ip, gateway.callers_port);
  if (ask (fd, "before-1", KEY) != 200
      || ask (fd, "before-2", KEY_UNKNOWN) != 401)
    {
      gateway_end (&gateway, SIGKILL);
      return CANNOT_RUN;
    }
  if (revoked)
    {
      store_put ("op/config", "{\"version\":8," ROUTES ",\"tenants\":[]}");
      record ("the store has acknowledged version 8, without tenants");
    }
  sleep_ms (CONFIG_APPLY_MS + ASK_GAP_MS);
  until = now_ms () + ASK_MS;
  for (int i = 1; now_ms () < until; i++)
    {
      char *attempt = format_text ("after-%d", i);
      bool dropped = i % 2 == 1;
      int status = ask (fd, attempt, dropped ? KEY : KEY_UNKNOWN);

      run_with_dropped_key += dropped && revoked && status == 200;
      run_with_unknown_key += !dropped && status == 200;
      refused += status == 401;
      free (attempt);
      sleep_ms (ASK_GAP_MS);
    }
  close (fd);
  record ("run: %d with a key that was taken away, %d with a key that never "
          "was one; %d refused with 401",
          run_with_dropped_key, run_with_unknown_key, refused);
  gateway_end (&gateway, SIGTERM);
  return run_with_dropped_key + run_with_unknown_key > 0 ? RULE_BROKEN : 0;
}
