#include "common/setting_table.h"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define NAME_MAX_BYTES 63
#define TEXT_MAX_BYTES 1024
#define SEEDS_MAX 64
#define Z85_KEY_LENGTH 40
#define TOKEN_KEY_LENGTH 64
#define TOKEN_KEYS_MAX 3

static bool
store_text (const struct bd_setting *setting, const char *text,
            struct bd_settings *settings)
{
  struct bd_owned_texts *owned = settings->owned;
  size_t row = (size_t)(setting - bd_setting_table);
  char *copy = strdup (text);

  if (!copy)
    return false;
  free (owned->text[row]);
  owned->text[row] = copy;
  memcpy ((char *)settings + setting->offset, &owned->text[row], sizeof copy);
  return true;
}

static bool
parse_role (const struct bd_setting *setting, const char *text,
            struct bd_settings *settings)
{
  enum bd_role role = BD_ROLE_ENTRY;

  if (strcmp (text, "sidecar") == 0)
    role = BD_ROLE_SIDECAR;
  else if (strcmp (text, "entry") != 0)
    return false;
  memcpy ((char *)settings + setting->offset, &role, sizeof role);
  return true;
}

static bool
parse_policy (const struct bd_setting *setting, const char *text,
              struct bd_settings *settings)
{
  static const char *const names[]
      = { "late-binding", "random", "better-of-two" };

  for (size_t i = 0; i < sizeof names / sizeof names[0]; i++)
    if (strcmp (text, names[i]) == 0)
      return store_text (setting, text, settings);
  return false;
}

static bool
parse_name (const struct bd_setting *setting, const char *text,
            struct bd_settings *settings)
{
  static const char allowed[] = "abcdefghijklmnopqrstuvwxyz"
                                "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                "0123456789._-";
  size_t length = strlen (text);

  if (length == 0 || length > NAME_MAX_BYTES)
    return false;
  if (strspn (text, allowed) != length)
    return false;
  return store_text (setting, text, settings);
}

static bool
parse_integer (const char *text, int64_t minimum, int64_t maximum,
               int64_t *value)
{
  char *end;

  if (text[0] == '\0' || strspn (text, "0123456789") != strlen (text))
    return false;
  errno = 0;
  *value = strtoll (text, &end, 10);
  return errno == 0 && *value >= minimum && *value <= maximum;
}

bool
bd_is_address (const char *text, size_t length)
{
  char copy[INET_ADDRSTRLEN + 8];
  struct in_addr ip;
  char *colon;
  int64_t port;

  if (length >= sizeof copy)
    return false;
  memcpy (copy, text, length);
  copy[length] = '\0';
  colon = strchr (copy, ':');
  if (!colon)
    return false;
  *colon = '\0';
  return inet_pton (AF_INET, copy, &ip) == 1
         && parse_integer (colon + 1, 1, 65535, &port);
}

static bool
parse_address (const struct bd_setting *setting, const char *text,
               struct bd_settings *settings)
{
  return bd_is_address (text, strlen (text))
         && store_text (setting, text, settings);
}

static bool
parse_addresses (const struct bd_setting *setting, const char *text,
                 struct bd_settings *settings)
{
  const char *next = text;

  for (size_t count = 0; count < SEEDS_MAX; count++)
    {
      size_t length = strcspn (next, ",");

      if (!bd_is_address (next, length))
        return false;
      if (next[length] == '\0')
        return store_text (setting, text, settings);
      next += length + 1;
    }
  return false;
}

static bool
has_http_scheme (CURLU *url)
{
  char *scheme = NULL;
  bool ok;

  if (curl_url_get (url, CURLUPART_SCHEME, &scheme, 0) != CURLUE_OK)
    return false;
  ok = strcmp (scheme, "http") == 0 || strcmp (scheme, "https") == 0;
  curl_free (scheme);
  return ok;
}

static bool
parse_url (const struct bd_setting *setting, const char *text,
           struct bd_settings *settings)
{
  CURLU *url;
  bool ok;

  if (strlen (text) > TEXT_MAX_BYTES)
    return false;
  url = curl_url ();
  ok = url && curl_url_set (url, CURLUPART_URL, text, 0) == CURLUE_OK
       && has_http_scheme (url);
  curl_url_cleanup (url);
  return ok && store_text (setting, text, settings);
}

static bool
parse_file (const struct bd_setting *setting, const char *text,
            struct bd_settings *settings)
{
  if (strlen (text) > TEXT_MAX_BYTES || access (text, R_OK) != 0)
    return false;
  return store_text (setting, text, settings);
}

static bool
parse_int32 (const struct bd_setting *setting, const char *text,
             struct bd_settings *settings)
{
  int64_t value;
  int32_t value32;

  if (!parse_integer (text, setting->minimum, setting->maximum, &value))
    return false;
  value32 = (int32_t)value;
  memcpy ((char *)settings + setting->offset, &value32, sizeof value32);
  return true;
}

static bool
parse_int64 (const struct bd_setting *setting, const char *text,
             struct bd_settings *settings)
{
  int64_t value;

  if (!parse_integer (text, setting->minimum, setting->maximum, &value))
    return false;
  memcpy ((char *)settings + setting->offset, &value, sizeof value);
  return true;
}

static bool
parse_z85 (const struct bd_setting *setting, const char *text,
           struct bd_settings *settings)
{
  static const char alphabet[] = "0123456789abcdefghijklmnopqrstuvwxyz"
                                 "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                 ".-:+=^!/*?&<>()[]{}@%$#";

  if (strlen (text) != Z85_KEY_LENGTH
      || strspn (text, alphabet) != Z85_KEY_LENGTH)
    return false;
  return store_text (setting, text, settings);
}

/* Parses hexadecimal keys separated by commas.  Several keys are allowed for
   rotation: a text sealed with an older one can still be opened. */
static bool
parse_keys (const struct bd_setting *setting, const char *text,
            struct bd_settings *settings)
{
  const char *next = text;

  for (size_t count = 0; count < TOKEN_KEYS_MAX; count++)
    {
      size_t length = strspn (next, "0123456789abcdefABCDEF");

      if (length != TOKEN_KEY_LENGTH)
        return false;
      if (next[length] == '\0')
        return store_text (setting, text, settings);
      if (next[length] != ',')
        return false;
      next += length + 1;
    }
  return false;
}

#define STRINGIFY(value) #value
#define NUMBER_RANGE(minimum, maximum)                                        \
  STRINGIFY (minimum) " to " STRINGIFY (maximum)
#define NAME_RANGE "1 to 63 letters, digits, '.', '_' or '-'"
#define ADDRESS_RANGE "IP:PORT with an IPv4 number and a port of 1 to 65535"
#define URL_RANGE "an http:// or https:// URL of at most 1024 bytes"

#define TEXT(flag, variable, parse, field, required, range, standard, help)   \
  {                                                                           \
    { flag, "BASILDOCK_" variable, range, standard, help }, parse,            \
        offsetof (struct bd_settings, field), required, true, 0, 0            \
  }
#define NUMBER(flag, variable, parse, field, minimum, maximum, standard,      \
               help)                                                          \
  {                                                                           \
    { flag, "BASILDOCK_" variable, NUMBER_RANGE (minimum, maximum), standard, \
      help },                                                                 \
        parse, offsetof (struct bd_settings, field), BD_SETTING_OPTIONAL,     \
        false, minimum, maximum                                               \
  }

const struct bd_setting bd_setting_table[BD_SETTING_COUNT] = {
  { { "role", "BASILDOCK_ROLE", "entry or sidecar", "",
      "what this daemon is" },
    parse_role,
    offsetof (struct bd_settings, role),
    BD_SETTING_REQUIRED,
    false,
    0,
    0 },
  TEXT ("instance", "INSTANCE", parse_name, instance, BD_SETTING_REQUIRED,
        NAME_RANGE, "", "name of this instance, unique in the fleet"),
  TEXT ("zone", "ZONE", parse_name, zone, BD_SETTING_REQUIRED, NAME_RANGE, "",
        "availability zone of this instance"),
  TEXT ("peer-address", "PEER_ADDRESS", parse_address, peer_address,
        BD_SETTING_REQUIRED, ADDRESS_RANGE, "",
        "where other daemons reach this one"),
  TEXT ("http-address", "HTTP_ADDRESS", parse_address, http_address,
        BD_SETTING_ENTRY, ADDRESS_RANGE, "", "where callers reach an entry"),
  TEXT ("admin-address", "ADMIN_ADDRESS", parse_address, admin_address,
        BD_SETTING_OPTIONAL, ADDRESS_RANGE, "",
        "where operators and probes read this daemon; none: no admin port"),
  TEXT ("platform-url", "PLATFORM_URL", parse_url, platform_url,
        BD_SETTING_REQUIRED, URL_RANGE, "",
        "the platform's configuration service"),
  TEXT ("seeds", "SEEDS", parse_addresses, seeds, BD_SETTING_OPTIONAL,
        "at most 64 of IP:PORT, separated by commas", "",
        "peer addresses of entries to join through"),
  TEXT ("tls-certificate", "TLS_CERTIFICATE", parse_file, tls_certificate,
        BD_SETTING_OPTIONAL, "a readable file of at most 1024 bytes of path",
        "", "PEM file with certificate and key for callers' HTTP"),
  TEXT ("policy", "POLICY", parse_policy, policy, BD_SETTING_OPTIONAL,
        "late-binding, random or better-of-two", "late-binding",
        "how an entry places requests"),
  TEXT ("engine-url", "ENGINE_URL", parse_url, engine_url, BD_SETTING_SIDECAR,
        URL_RANGE, "", "the engine or service beside a sidecar"),
  TEXT ("pool", "POOL", parse_name, pool, BD_SETTING_SIDECAR, NAME_RANGE, "",
        "the model or service that the sidecar's engine serves"),
  NUMBER ("slots", "SLOTS", parse_int32, slots, 1, 4096, "8",
          "requests that the engine runs at a time"),
  NUMBER ("queue-items", "QUEUE_ITEMS", parse_int32, queue_items, 1, 1000000,
          "1000", "requests that may wait at a sidecar"),
  NUMBER ("queue-bytes", "QUEUE_BYTES", parse_int64, queue_bytes, 65536,
          17179869184, "67108864", "bytes of requests waiting at a sidecar"),
  NUMBER ("answer-bytes", "ANSWER_BYTES", parse_int64, answer_bytes, 65536,
          17179869184, "67108864",
          "bytes of recorded answers kept by a sidecar"),
  NUMBER ("connect-timeout-ms", "CONNECT_TIMEOUT_MS", parse_int32,
          connect_timeout_ms, 1, 60000, "1000",
          "time limit to connect to the engine, in milliseconds"),
  NUMBER ("first-byte-timeout-ms", "FIRST_BYTE_TIMEOUT_MS", parse_int32,
          first_byte_timeout_ms, 1, 3600000, "30000",
          "time limit for the engine's first byte, in milliseconds"),
  NUMBER ("idle-timeout-ms", "IDLE_TIMEOUT_MS", parse_int32, idle_timeout_ms,
          1, 3600000, "10000",
          "time limit between two reads from the engine, in milliseconds"),
  NUMBER ("confirm-window-ms", "CONFIRM_WINDOW_MS", parse_int32,
          confirm_window_ms, 0, 600000, "15000",
          "callers' own idempotency keys are accepted by a sidecar for this "
          "long after its configuration was confirmed; 0: not checked"),
  NUMBER ("max-streams", "MAX_STREAMS", parse_int32, max_streams, 1, 16384,
          "512", "callers' requests served at a time by an entry"),
  NUMBER ("body-bytes", "BODY_BYTES", parse_int32, body_bytes, 1024, 67108864,
          "1048576", "largest request body, in bytes"),
  NUMBER ("subset-size", "SUBSET_SIZE", parse_int32, subset_size, 1, 4096,
          "120", "runners of a pool that an entry talks to"),
  NUMBER ("drain-timeout-s", "DRAIN_TIMEOUT_S", parse_int32, drain_timeout_s,
          0, 86400, "0", "time limit of a planned stop, in seconds; 0: none"),
  NUMBER ("log-level", "LOG_LEVEL", parse_int32, log_level, 3, 7, "6",
          "least severity logged: 3 error, 4 warning, 5 notice, 6 info, "
          "7 debug"),
  NUMBER ("log-lines-per-s", "LOG_LINES_PER_S", parse_int32, log_lines_per_s,
          0, 1000000, "1000",
          "ordinary log lines (severity info and below) written in a second "
          "at most; 0: any number"),
  TEXT (NULL, "CURVE_SECRET", parse_z85, curve_secret, BD_SETTING_OPTIONAL,
        "40 Z85 characters", "", "secret key between daemons"),
  TEXT (NULL, "CURVE_PUBLIC", parse_z85, curve_public, BD_SETTING_OPTIONAL,
        "40 Z85 characters", "", "public key between daemons"),
  TEXT (NULL, "TOKEN_KEY", parse_keys, token_key, BD_SETTING_OPTIONAL,
        "1 to 3 keys of 64 hex digits, separated by commas", "",
        "the first seals idempotency keys, all open them"),
};
