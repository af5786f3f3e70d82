/*
 * A version adds keys to a tenant.  Callers with each of its keys send a
 * request later than configApplyMs after the ack.
 */
#include "../stand-2/stand.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define RULE_BROKEN 1
#define CANNOT_RUN 2
/* configApplyMs and stableWindowMs of the small deployments. */
#define CONFIG_APPLY_MS 2000
#define STABLE_WINDOW_MS 3000
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
/* Keys of the one tenant, before and after the change, and the length of a
   key with its end. */
#define KEYS_BEFORE 50
#define KEYS_AFTER 90
#define KEY_BYTES 24
/* Proper requests that may be turned away, besides one in 500. */
#define DENIED_MAX 5

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
      sleep_ms (20);
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

/* Writes a desired state whose tenant has COUNT keys. */
static void
put_configuration (int version, int count)
{
  char *keys = format_text ("%s", "");
  char *value;

  for (int i = 1; i <= count; i++)
    {
      char *more = format_text ("%s%s\"key%017d\"", keys, i > 1 ? "," : "", i);

      free (keys);
      keys = more;
    }
  value = format_text ("{\"version\":%d," ROUTES
                       ",\"tenants\":[{\"name\":\"hule930\",\"apiKeys\":[%s],"
                       "\"priority\":1}]}",
                       version, keys);
  store_put ("op/config", value);
  record ("the store has acknowledged version %d with %d keys, %zu bytes",
          version, count, strlen (value));
  free (value);
  free (keys);
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
  put_configuration (7, KEYS_BEFORE);
  serve (listener, handle_runner_connection);
  store_add_runner ("i-desk", "order-desk", "127.0.0.1", port, "v1");
  snprintf (gateway.name, sizeof gateway.name, "entry-1");
  snprintf (gateway.ip, sizeof gateway.ip, "127.0.0.1");
  gateway_prepare (&gateway, folder, free_port (ips, 1), store_port, "[]");
  return gateway_start (&gateway) && gateway_wait_ready (&gateway, 10000);
}

/* Sends a request with each key from FIRST to LAST.  Returns how many are
   turned away with 401. */
static int
ask_with_keys (int fd, const char *when, int first, int last)
{
  int denied = 0;

  for (int i = first; i <= last; i++)
    {
      char *attempt = format_text ("%s-%d", when, i);
      char key[KEY_BYTES];

      snprintf (key, sizeof key, "key%017d", i);
      denied += ask (fd, attempt, key) == 401;
      free (attempt);
    }
  return denied;
}

int
main (int argc, char **argv)
{
  const char *trouble = getenv ("TROUBLE");
  bool change = !trouble || strcmp (trouble, "0") != 0;
  int fd;
  int denied;

  if (argc != 3)
    return CANNOT_RUN;
  record_open (argv[2]);
  if (!start (argv[1]))
    return CANNOT_RUN;
  sleep_ms (3000);
  fd = connect_to (gateway.ip, gateway.callers_port);
  if (ask_with_keys (fd, "before", 1, KEYS_BEFORE) != 0)
    {
      gateway_end (&gateway, SIGKILL);
      return CANNOT_RUN;
    }
  if (change)
    put_configuration (8, KEYS_AFTER);
  sleep_ms (CONFIG_APPLY_MS + STABLE_WINDOW_MS);
  denied = ask_with_keys (fd, "after", 1, change ? KEYS_AFTER : KEYS_BEFORE);
  close (fd);
  record ("turned away with 401 though their key is in the desired state: %d; "
          "allowed: %d",
          denied, DENIED_MAX);
  gateway_end (&gateway, SIGTERM);
  return denied > DENIED_MAX ? RULE_BROKEN : 0;
}
