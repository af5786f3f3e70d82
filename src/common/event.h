/**
 * @file event.h
 * The numbered log events.  docs/EVENTS.md describes each of them.
 */
#ifndef BD_EVENT_H
#define BD_EVENT_H

/** Severities, numbered as in syslog: lower is more severe. */
enum bd_severity
{
  BD_SEVERITY_ERROR = 3,
  BD_SEVERITY_WARNING = 4,
  BD_SEVERITY_NOTICE = 5,
  BD_SEVERITY_INFO = 6,
  BD_SEVERITY_DEBUG = 7
};

/* Number, name, severity, text; in ascending order of the numbers. */
#define BD_EVENT_TABLE(X)                                                     \
  X (1001, DAEMON_START, NOTICE, "daemon started")                            \
  X (1002, DAEMON_READY, NOTICE, "daemon ready")                              \
  X (1003, DAEMON_LEAVING, NOTICE, "shutdown requested, finishing work")      \
  X (1004, DAEMON_STOP, NOTICE, "daemon stopped")                             \
  X (1005, SETTING_BAD, ERROR, "setting refused")                             \
  X (1006, SETTINGS_READ, NOTICE, "settings read again")                      \
  X (1007, RESUMED, WARNING, "machine was suspended, beliefs dropped")        \
  X (1008, ACCEPT_FAILED, WARNING, "connection not accepted")                 \
  X (1009, LOG_DROPPED, WARNING, "log lines dropped")                         \
  X (1010, HANGUP, NOTICE, "hangup signal ignored")                           \
  X (1011, LOOP_LATE, NOTICE, "event loop was late")                          \
  X (2001, REQUEST_DONE, INFO, "request answered whole")                      \
  X (2002, REQUEST_REFUSED, INFO, "request refused")                          \
  X (2003, REQUEST_RETRY, INFO, "request placed again")                       \
  X (2004, REQUEST_SHED, INFO, "queued request shed")                         \
  X (2005, REQUEST_QUEUED, DEBUG, "request queued")                           \
  X (2006, REQUEST_GRANTED, DEBUG, "request granted")                         \
  X (2007, REQUEST_STARTED, INFO, "request sent to the engine")               \
  X (2008, REQUEST_ENDED, INFO, "engine finished the request")                \
  X (2009, BILLING_LINE, NOTICE, "answer billed")                             \
  X (2010, REQUEST_EXPIRED, INFO, "queued request expired")                   \
  X (2011, REQUEST_RESUME, INFO, "stream resumed at another runner")          \
  X (2012, REQUEST_FAILED, NOTICE, "request ended without an answer")         \
  X (2013, REQUEST_ABORTED, INFO, "caller went away")                         \
  X (2014, CALLER_REFUSED, NOTICE, "message of a caller refused")             \
  X (2015, ATTEMPT_FAILED, NOTICE, "attempt at a runner failed")              \
  X (2016, REQUEST_PLACED, INFO, "request placed")                            \
  X (2017, STREAM_CONTINUED, NOTICE, "caller continues a stream")             \
  X (2018, STREAM_NOT_CONTINUED, NOTICE, "stream cannot be continued")        \
  X (3001, CONFIG_IN_FORCE, NOTICE, "configuration in force")                 \
  X (3002, CONFIG_REFUSED, WARNING, "document refused")                       \
  X (3003, CONFIG_STALE, NOTICE, "older revision ignored")                    \
  X (3004, PLATFORM_DOWN, WARNING, "configuration service unreachable")       \
  X (3005, PLATFORM_UP, NOTICE, "configuration service reachable")            \
  X (3006, PLATFORM_ERA, WARNING, "configuration service lost writes")        \
  X (4001, MEMBER_LIVE, NOTICE, "peer is live")                               \
  X (4002, MEMBER_SUSPECT, NOTICE, "peer is silent")                          \
  X (4003, MEMBER_GONE, NOTICE, "peer removed")                               \
  X (4004, RUNNER_STATE, NOTICE, "runner changed state")                      \
  X (4005, TARGET_STATE, NOTICE, "runner's entry changed")                    \
  X (4006, TARGET_AVOIDED, NOTICE, "runner is avoided for a while")           \
  X (4007, ENTRY_REFUSED, WARNING, "entry of the store left out")             \
  X (4008, RETRIES_SHARED, INFO, "retry budget shared anew")                  \
  X (4009, COORDINATOR, INFO, "another instance decides on placements")       \
  X (4010, PARTS_LISTED, INFO, "runner said which parts it holds")            \
  X (4011, TARGET_LEAVING, NOTICE, "runner says that it leaves")              \
  X (4012, TARGET_PAUSED, NOTICE, "runner asked for a pause")                 \
  X (4013, TARGET_LIMIT, NOTICE, "runner limits its requests")                \
  X (4014, EVACUATION, NOTICE, "zone evacuated or in use again")              \
  X (4015, TARGET_SOFTWARE, NOTICE, "runner runs another software version")   \
  X (4016, ORIGIN_DOUBTED, INFO, "a runner cannot tell what it began")        \
  X (5001, ENGINE_DOWN, WARNING, "engine connection lost")                    \
  X (5002, ENGINE_UP, NOTICE, "engine answers")                               \
  X (5003, ENGINE_ORDER, NOTICE, "order given to the engine")                 \
  X (5004, STRIKE, WARNING, "request was in flight at a crash")               \
  X (5005, QUARANTINE, WARNING, "request quarantined")                        \
  X (5006, STRIKE_HEARD, INFO, "peer told of a crash")                        \
  X (5007, CHECK_SKIPPED, WARNING, "runner not checked after a failure")      \
  X (5008, NO_STRIKE, INFO, "runner lives that a request was suspected of")   \
  X (5009, PART_OPEN, WARNING, "part of prompts crashes runners")             \
  X (5010, PART_HEARD, INFO, "peer told of a part of prompts")                \
  X (5011, PARTS_DROPPED, WARNING, "parts of prompts forgotten")              \
  X (6001, PROTOCOL_ERROR, WARNING, "message refused")

enum bd_event
{
#define BD_EVENT_ENUM(number, name, severity, text) BD_EVENT_##name = (number),
  BD_EVENT_TABLE (BD_EVENT_ENUM)
#undef BD_EVENT_ENUM
};

#endif
