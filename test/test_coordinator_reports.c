/* Reports of a forwarder to the coordinator about its runners' responses, and
   to its peers about crashes; and what it learns from the answers. */
#include "gateway/coordinator_client.h"
#include "support_gateway.h"
#include "support_mesh.h"
#include "support_port.h"

#include "common/clock.h"
#include "http/socket.h"

#include <string.h>

#define HEAD(status)                                                          \
  "HTTP/1.1 " status "\r\nX-Basildock-Attempt-Id: @ID\r\n"                    \
  "X-Basildock-Response-Signature: sig\r\nContent-Length: 2\r\n\r\nok"

/* The gateway under test, and the instance that coordinates. */
struct fixture
{
  struct support_gateway gateway;
  struct support_gateway other;
  struct bd_mesh *meshes[2];
  struct bd_coordinator_client *coordinator_clients[2];
  int64_t now_ms;
};

static void
on_message (void *context, uint32_t ip,
            const struct bd_coordination_message *message)
{
  bd_coordinator_client_handle (*(struct bd_coordinator_client **)context, ip,
                                message);
}

static struct bd_mesh_handler handler;

/* Connects side I, which uses the modules of GATEWAY, to the mesh. */
static void
open_side (struct fixture *fixture, int i, struct support_gateway *gateway,
           uint16_t port, enum bd_peer_state state)
{
  static uint32_t seed;
  struct bd_peer_status status = { .state = state, .cpu_millicores = 100 };
  struct bd_mesh_options mesh = { .loop = &fixture->gateway.loop,
                                  .port = port,
                                  .ip = htonl (INADDR_LOOPBACK + (uint32_t)i),
                                  .seeds = &seed,
                                  .seed_count = 1,
                                  .targets = gateway->targets,
                                  .suspects = gateway->suspects,
                                  .breakers = gateway->breakers,
                                  .stats = gateway->stats };

  seed = htonl (INADDR_LOOPBACK);
  fixture->coordinator_clients[i] = gateway->coordinator_client;
  g_assert_cmpint (bd_mesh_create (&mesh, &handler,
                                   &fixture->coordinator_clients[i],
                                   &fixture->meshes[i]),
                   ==, BD_OK);
  bd_coordinator_client_set_mesh (gateway->coordinator_client,
                                  fixture->meshes[i]);
  bd_mesh_set_status (fixture->meshes[i], &status);
}

static struct bd_target_health
health_at (struct fixture *fixture)
{
  return bd_targets_find (fixture->other.targets, BD_CHUNK ("i-0"))->health;
}

/* Opens both sides; the gateway has a runner that plays STEP.  After that no
   gossip is sent by time. */
static void
open_fixture (struct fixture *fixture, const struct support_step *step)
{
  char address[SUPPORT_ADDRESS_BYTES];
  struct sockaddr_in bound;
  const struct bd_target *listed;

  memset (fixture, 0, sizeof *fixture);
  support_gateway_open (&fixture->gateway);
  support_gateway_open (&fixture->other);
  support_gateway_runner (&fixture->gateway, 0, step, 1);
  listed = bd_targets_find (fixture->gateway.targets, BD_CHUNK ("i-0"));
  support_gateway_list (&fixture->other, 0, ntohs (listed->port));
  support_free_address (address);
  bd_address_parse (bd_chunk_of (address), &bound);
  open_side (fixture, 0, &fixture->gateway, ntohs (bound.sin_port),
             BD_PEER_UNABLE);
  open_side (fixture, 1, &fixture->other, ntohs (bound.sin_port),
             BD_PEER_FRESH);
  bd_forwarder_set_mesh (fixture->gateway.forwarder, fixture->meshes[0]);
  fixture->now_ms = bd_clock_boot_ms ();
  for (int i = 0; i < 3; i++)
    {
      fixture->now_ms += 1000;
      bd_mesh_tick (fixture->meshes[0], fixture->now_ms);
      bd_mesh_tick (fixture->meshes[1], fixture->now_ms);
      for (int n = 0; n < 50; n++)
        uv_run (&fixture->gateway.loop, UV_RUN_NOWAIT);
    }
}

static void
close_fixture (struct fixture *fixture)
{
  support_gateway_close (&fixture->gateway);
  support_gateway_close (&fixture->other);
}

/* Sends METHOD_PATH to a runner that plays STEP.  Returns the runner's health
   at the coordinator once the caller has RESPONSE and the report arrived. */
static struct bd_target_health
run_request (const char *method_path, const struct support_step *step,
             const char *response)
{
  static struct fixture fixture;
  char *text = support_request (method_path, "a1", "", "");
  struct bd_target_health health;

  open_fixture (&fixture, step);
  support_await (support_caller_send (&fixture.gateway, 0, text), response);
  do
    {
      support_run_once (&fixture.gateway);
      health = health_at (&fixture);
    }
  while (health.failures + health.successes == 0.0);
  g_free (text);
  close_fixture (&fixture);
  return health;
}

/* Runners suddenly respond with status 500.  The response goes to the caller,
   as the request must not run twice; the coordinator has to get the failure,
   or else it keeps sending requests to these runners. */
static void
test_error_forwarded (void)
{
  static const struct support_step step
      = { HEAD ("500 Internal Server Error"), SUPPORT_KEEP };
  struct bd_target_health health
      = run_request ("POST /once/x", &step, " 500 ");

  g_assert_cmpfloat (health.failures, >, 0.9);
  g_assert_cmpfloat (health.successes, ==, 0.0);
}

/* Successes are reported as well; with failures alone any runner would look
   bad. */
static void
test_success (void)
{
  static const struct support_step step = { HEAD ("200 OK"), SUPPORT_KEEP };
  struct bd_target_health health
      = run_request ("POST /once/x", &step, " 200 ");

  g_assert_cmpfloat (health.failures, ==, 0.0);
  g_assert_cmpfloat (health.successes, >, 0.9);
}

/* Guards against a request that crashes one runner more at each instance that
   its caller repeats it at: the next instance gets it within milliseconds, so
   peers are told of a crash at once and not with the next round of gossip. */
static void
test_crash_told_at_once (void)
{
  static const struct support_step crash = { "", SUPPORT_CRASH };
  static struct fixture fixture;
  struct bd_strike strike;
  size_t cursor = 0;
  char *text = support_request ("POST /once/x", "a1", "", "");

  open_fixture (&fixture, &crash);
  support_await (support_caller_send (&fixture.gateway, 0, text), " 502 ");
  while (bd_suspects_list_all (fixture.other.suspects, bd_clock_boot_ms (),
                               &cursor, &strike, 1)
         == 0)
    support_run_once (&fixture.gateway);
  g_free (text);
  close_fixture (&fixture);
}

/* Guards against streams that cannot be continued because the instances that
   knew their version have ended: one that was told keeps it, also when no
   runner may go on with the stream yet. */
static void
test_origin_of_reply (void)
{
  static const struct support_step none = { "", SUPPORT_KEEP };
  static struct fixture fixture;
  struct bd_stream_origin origin
      = { .stream = bd_stream_number (BD_CHUNK ("a1"), BD_CHUNK ("w")),
          .software = bd_software_of (BD_CHUNK ("v1")).hash,
          .expires_ms = INT64_MAX };
  char *text = support_request ("POST /resume/x", "a2",
                                "Last-Event-Id: 1\r\nResumes: a1\r\n", "");

  open_fixture (&fixture, &none);
  bd_stream_origins_record (fixture.other.origins, &origin, 0);
  support_await (support_caller_send (&fixture.gateway, 0, text),
                 "\"no_runner\"");
  g_assert_cmpuint (bd_stream_origins_find (fixture.gateway.origins,
                                            origin.stream,
                                            bd_clock_boot_ms ()),
                    ==, origin.software);
  g_free (text);
  close_fixture (&fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  handler = support_mesh_handler (on_message);
  g_test_add_func ("/coordinator-reports/error-forwarded",
                   test_error_forwarded);
  g_test_add_func ("/coordinator-reports/success", test_success);
  g_test_add_func ("/coordinator-reports/origin-of-reply",
                   test_origin_of_reply);
  g_test_add_func ("/coordinator-reports/crash-told-at-once",
                   test_crash_told_at_once);
  return g_test_run ();
}
